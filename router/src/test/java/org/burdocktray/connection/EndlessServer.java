package org.burdocktray.connection;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.burdocktray.model.NetworkAddress;

/**
 * An HTTP server that answers the first request with a prefix and then sends bytes until
 * its peer closes the connection. Thread safety: safe for use by multiple threads.
 */
final class EndlessServer implements AutoCloseable {

	private static final int CHUNK_BYTES = 64 * 1024;

	private static final long CHUNK_INTERVAL_MILLIS = 1;

	private final ServerSocket listener;

	private final byte[] prefix;

	private final byte[] chunk;

	private final long intervalMillis;

	private final CountDownLatch closedByPeer = new CountDownLatch(1);

	private EndlessServer(String prefix, int chunkBytes, long intervalMillis) {
		try {
			this.listener = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		this.prefix = prefix.getBytes(StandardCharsets.US_ASCII);
		this.chunk = new byte[chunkBytes];
		Arrays.fill(this.chunk, (byte) 'a');
		this.intervalMillis = intervalMillis;
		Thread thread = new Thread(this::serve, "endless-server");
		thread.setDaemon(true);
		thread.start();
	}

	static EndlessServer endlessBody() {
		return new EndlessServer("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n", CHUNK_BYTES,
				CHUNK_INTERVAL_MILLIS);
	}

	static EndlessServer endlessHead() {
		return new EndlessServer("HTTP/1.1 200 OK\r\nX-Endless: ", CHUNK_BYTES, CHUNK_INTERVAL_MILLIS);
	}

	static EndlessServer slowBody(long byteIntervalMillis) {
		return new EndlessServer("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n", 1, byteIntervalMillis);
	}

	NetworkAddress address() {
		return new NetworkAddress("127.0.0.1", this.listener.getLocalPort());
	}

	boolean awaitClosedByPeer(long timeoutSeconds) {
		try {
			return this.closedByPeer.await(timeoutSeconds, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private void serve() {
		try (Socket connection = this.listener.accept()) {
			connection.getInputStream().read();
			OutputStream output = connection.getOutputStream();
			output.write(this.prefix);
			while (true) {
				output.write(this.chunk);
				output.flush();
				Thread.sleep(this.intervalMillis);
			}
		}
		catch (IOException ex) {
			this.closedByPeer.countDown();
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	@Override
	public void close() {
		try {
			this.listener.close();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
