package org.burdocktray.standins.network;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Forwards TCP connections to a port of the loopback address and injects network faults
 * into them. Thread safety: thread-safe.
 */
public final class LoopbackProxy implements AutoCloseable {

	private static final int BUFFER_BYTES = 16_384;

	private static final long POLL_INTERVAL_MILLIS = 10;

	private static final long DELAY_MILLIS = 150;

	private static final int NORMAL_BACKLOG = 50;

	private static final int SMALL_BACKLOG = 1;

	/** More connections than fit into a small queue. */
	private static final int MAX_FILLERS = 8;

	private static final int FILLER_TIMEOUT_MILLIS = 60;

	private static final int MAX_BIND_TRIES = 100;

	private final int port;

	private final int targetPort;

	private final ExecutorService threads = Executors.newCachedThreadPool((task) -> {
		Thread thread = new Thread(task, "proxy");
		thread.setDaemon(true);
		return thread;
	});

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private final Set<Socket> silentSockets = ConcurrentHashMap.newKeySet();

	private volatile Mode mode = Mode.PASS;

	/** Connections that wait in the queue of a listener that accepts none. */
	private final List<Socket> fillers = new ArrayList<>();

	private ServerSocket server;

	/** Keeps the port while nothing listens on it. */
	private Socket reservation = new Socket();

	/**
	 * Starts a proxy.
	 * @param targetPort the port to which it forwards connections
	 * @throws IOException when its port is not available any more
	 */
	public LoopbackProxy(int targetPort) throws IOException {
		this.targetPort = targetPort;
		this.port = FreePorts.take();
		this.server = listen(NORMAL_BACKLOG);
		startAccepting(this.server);
	}

	/**
	 * Returns the address on which the proxy listens.
	 * @return the IP address and port, separated by a colon
	 */
	public String address() {
		return "127.0.0.1:" + this.port;
	}

	/**
	 * Sets how bytes are handled from now on.
	 * @param newMode the mode
	 */
	public void setMode(Mode newMode) {
		this.mode = newMode;
	}

	/**
	 * Forwards nothing more on the connections that are open now, and leaves them open.
	 * New ones work.
	 */
	public void silenceOpenConnections() {
		this.silentSockets.addAll(this.sockets);
	}

	/** Resets all connections. */
	public void reset() {
		this.sockets.forEach(LoopbackProxy::reset);
	}

	/**
	 * Refuses new connections from now on. Open ones are kept.
	 * @throws IOException when the port cannot be kept
	 */
	public synchronized void refuseConnections() throws IOException {
		stopListening();
		this.reservation.setReuseAddress(true);
		bind(() -> this.reservation.bind(address(this.port)));
	}

	/**
	 * Leaves the opening packets of new connections without a response from now on, as a
	 * network that loses them does. Open connections are kept.
	 * @throws IOException when the port cannot be kept
	 */
	public synchronized void dropConnections() throws IOException {
		stopListening();
		this.server = listen(SMALL_BACKLOG);
		boolean isFull = false;
		while (!isFull && this.fillers.size() < MAX_FILLERS) {
			isFull = !addFiller();
		}
	}

	/**
	 * Accepts new connections again.
	 * @throws IOException when the port is not available any more
	 */
	public synchronized void acceptConnections() throws IOException {
		stopListening();
		this.server = listen(NORMAL_BACKLOG);
		startAccepting(this.server);
	}

	// Returns false if the queue of the listener is full.
	private boolean addFiller() throws IOException {
		Socket filler = new Socket();
		try {
			filler.connect(address(this.port), FILLER_TIMEOUT_MILLIS);
			this.fillers.add(filler);
			return true;
		}
		catch (SocketTimeoutException ex) {
			filler.close();
			return false;
		}
	}

	private void stopListening() throws IOException {
		this.server.close();
		for (Socket filler : this.fillers) {
			filler.close();
		}
		this.fillers.clear();
		this.reservation.close();
		this.reservation = new Socket();
	}

	private ServerSocket listen(int backlog) throws IOException {
		ServerSocket listener = new ServerSocket();
		listener.setReuseAddress(true);
		bind(() -> listener.bind(address(this.port), backlog));
		return listener;
	}

	// A listener that is closed keeps its port until its thread has left it.
	private static void bind(BindAction action) throws IOException {
		for (int attempt = 1;; attempt++) {
			try {
				action.bind();
				return;
			}
			catch (BindException ex) {
				if (attempt == MAX_BIND_TRIES) {
					throw ex;
				}
				LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(POLL_INTERVAL_MILLIS));
			}
		}
	}

	private static InetSocketAddress address(int port) {
		return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
	}

	@Override
	public synchronized void close() throws IOException {
		stopListening();
		reset();
		this.threads.shutdownNow();
	}

	private void startAccepting(ServerSocket listener) {
		this.threads.execute(() -> accept(listener));
	}

	private void accept(ServerSocket listener) {
		while (!listener.isClosed()) {
			try {
				Socket caller = listener.accept();
				this.sockets.add(caller);
				Socket target = connect(caller);
				this.sockets.add(target);
				this.threads.execute(() -> pump(caller, target, Mode.SILENT_FORTH));
				this.threads.execute(() -> pump(target, caller, Mode.SILENT_BACK));
			}
			catch (IOException ex) {
				// The target is unreachable, or the proxy is closed.
				continue;
			}
		}
	}

	private Socket connect(Socket caller) throws IOException {
		try {
			return new Socket(InetAddress.getLoopbackAddress(), this.targetPort);
		}
		catch (IOException ex) {
			this.sockets.remove(caller);
			reset(caller);
			throw ex;
		}
	}

	private void pump(Socket from, Socket to, Mode silentMode) {
		try {
			copy(from, to.getOutputStream(), silentMode);
			from.close();
			to.close();
		}
		catch (IOException ex) {
			// Before anything closes the socket, which would end the connection in order.
			reset(to);
			reset(from);
		}
		catch (InterruptedException ex) {
			reset(to);
			reset(from);
			Thread.currentThread().interrupt();
		}
		finally {
			this.sockets.remove(from);
			this.silentSockets.remove(from);
		}
	}

	private void copy(Socket from, OutputStream output, Mode silentMode) throws IOException, InterruptedException {
		InputStream input = from.getInputStream();
		byte[] buffer = new byte[BUFFER_BYTES];
		for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
			while (this.mode == Mode.SILENT || this.mode == silentMode || this.silentSockets.contains(from)) {
				TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
			}
			if (this.mode == Mode.SLOW) {
				TimeUnit.MILLISECONDS.sleep(DELAY_MILLIS);
			}
			output.write(buffer, 0, count);
		}
	}

	private static void reset(Socket socket) {
		try {
			socket.setSoLinger(true, 0);
			socket.close();
		}
		catch (IOException ex) {
			// The socket is already closed.
			return;
		}
	}

	/**
	 * How the proxy handles the bytes that it receives.
	 */
	public enum Mode {

		/** Forwards bytes in both directions. */
		PASS,

		/** Holds bytes back in both directions; connections stay open. */
		SILENT,

		/** Holds back bytes from callers to the target. */
		SILENT_FORTH,

		/** Holds back bytes from the target to callers. */
		SILENT_BACK,

		/** Forwards bytes in both directions with a delay. */
		SLOW

	}

	private interface BindAction {

		void bind() throws IOException;

	}

}
