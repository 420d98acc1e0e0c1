package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** One machine's way to one replica: passes bytes on, or resets or holds back all connections. */
final class Proxy implements AutoCloseable {

	enum Mode {

		/** Bytes are passed on. */
		PASS,

		/** Open and new connections are reset. */
		RESET,

		/** Nothing is passed on, and nothing is closed. */
		HANG

	}

	private final ServerSocket server;

	private final String targetIp;

	private final int targetPort;

	private final Set<Socket> open = ConcurrentHashMap.newKeySet();

	private volatile Mode mode = Mode.PASS;

	Proxy(String ip, Http.Server target) throws IOException {
		this.targetIp = target.ip;
		this.targetPort = target.port;
		this.server = new ServerSocket(0, 1_024, InetAddress.getByName(ip));
		Http.daemon(this::accept);
	}

	String address() {
		return this.server.getInetAddress().getHostAddress() + ":" + this.server.getLocalPort();
	}

	void set(Mode next) {
		this.mode = next;
		if (next != Mode.HANG) {
			this.open.forEach(Proxy::reset);
		}
	}

	private void accept() {
		while (!this.server.isClosed()) {
			try {
				Socket caller = this.server.accept();
				Http.daemon(() -> connect(caller));
			}
			catch (IOException ex) {
				// Closed.
			}
		}
	}

	private void connect(Socket caller) {
		this.open.add(caller);
		if (this.mode == Mode.RESET) {
			reset(caller);
			return;
		}
		if (this.mode == Mode.HANG) {
			return;
		}
		try {
			Socket target = new Socket(this.targetIp, this.targetPort);
			this.open.add(target);
			Http.daemon(() -> copy(caller, target));
			copy(target, caller);
		}
		catch (IOException ex) {
			reset(caller);
		}
	}

	private void copy(Socket from, Socket to) {
		byte[] buffer = new byte[65_536];
		try {
			InputStream in = from.getInputStream();
			OutputStream out = to.getOutputStream();
			for (int length = in.read(buffer); length >= 0; length = in.read(buffer)) {
				if (this.mode == Mode.HANG) {
					return;
				}
				out.write(buffer, 0, length);
				out.flush();
			}
			to.shutdownOutput();
		}
		catch (IOException ex) {
			reset(from);
			reset(to);
		}
	}

	private static void reset(Socket socket) {
		try {
			socket.setSoLinger(true, 0);
			socket.close();
		}
		catch (IOException ex) {
			// It is closed already.
		}
	}

	@Override
	public void close() throws IOException {
		this.server.close();
		this.open.forEach(Proxy::reset);
	}

}
