package org.burdocktray.standins.network;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Hands out ports for servers that are started later. The ports lie below those that
 * Linux gives by default to outgoing connections and to sockets that ask for any port
 * (32,768 to 60,999), so no such socket takes a port before its server starts, or while
 * its server is restarted. A port that is in use is passed over. No port is handed out
 * twice before all others of the range have been. Each process begins at a random port,
 * so that processes that run at the same time rarely use the same ones. Thread safety:
 * thread-safe.
 */
public final class FreePorts {

	static final int FIRST_PORT = 10_240;

	static final int LAST_PORT = 32_000;

	private static final FreePorts OF_PROCESS = new FreePorts(FIRST_PORT, LAST_PORT,
			ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT + 1));

	private final int firstPort;

	private final int lastPort;

	private int nextPort;

	FreePorts(int firstPort, int lastPort, int nextPort) {
		this.firstPort = firstPort;
		this.lastPort = lastPort;
		this.nextPort = nextPort;
	}

	/**
	 * Returns a port that no socket uses, for TCP and UDP.
	 * @return the port
	 * @throws IllegalStateException when all ports of the range are in use
	 */
	public static int take() {
		return OF_PROCESS.takeNext();
	}

	synchronized int takeNext() {
		for (int count = this.firstPort; count <= this.lastPort; count++) {
			int port = this.nextPort;
			this.nextPort = (port < this.lastPort) ? port + 1 : this.firstPort;
			if (isFree(port)) {
				return port;
			}
		}
		throw new IllegalStateException("no port from " + this.firstPort + " to " + this.lastPort + " is free");
	}

	// The TCP socket does not listen, so that nobody can connect to it.
	private static boolean isFree(int port) {
		try (Socket stream = new Socket(); DatagramSocket datagrams = new DatagramSocket(port)) {
			stream.bind(new InetSocketAddress(port));
			return true;
		}
		catch (IOException ex) {
			return false;
		}
	}

}
