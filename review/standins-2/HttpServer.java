import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** An HTTP server with one thread for each connection. */
abstract class HttpServer {

	/** In place of a response: the connection is closed without one. */
	static final byte[] CLOSE = new byte[0];

	private final ServerSocket listener = new ServerSocket();

	private final Set<Socket> open = ConcurrentHashMap.newKeySet();

	private volatile boolean closed;

	HttpServer(String ip) throws IOException {
		this.listener.bind(new InetSocketAddress(InetAddress.getByName(ip), 0), 1_024);
	}

	void start() {
		thread(this::accept);
	}

	String address() {
		return this.listener.getInetAddress().getHostAddress() + ":" + this.listener.getLocalPort();
	}

	/** Ends like a process that is killed: the port closes, connections are reset. */
	void kill() throws IOException {
		this.closed = true;
		this.listener.close();
		for (Socket socket : this.open) {
			reset(socket);
		}
	}

	static void reset(Socket socket) {
		try {
			socket.setSoLinger(true, 0);
			socket.close();
		}
		catch (IOException ex) {
			// It is closed already.
		}
	}

	static Thread thread(Runnable action) {
		Thread thread = new Thread(action);
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	private void accept() {
		while (!this.closed) {
			try {
				Socket socket = this.listener.accept();
				socket.setTcpNoDelay(true);
				this.open.add(socket);
				thread(() -> serve(socket));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			BufferedInputStream input = new BufferedInputStream(socket.getInputStream());
			OutputStream output = socket.getOutputStream();
			for (Http.Message request = Http.read(input, false); request != null; request = Http.read(input, false)) {
				byte[] response = handle(request, socket);
				if (response == CLOSE) {
					return;
				}
				output.write(response);
				output.flush();
				if ("close".equalsIgnoreCase(request.header("Connection"))) {
					return;
				}
			}
		}
		catch (IOException ex) {
			// The peer has closed the connection.
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			this.open.remove(socket);
		}
	}

	/** Returns the bytes of the response, or {@link #CLOSE}. */
	abstract byte[] handle(Http.Message request, Socket socket) throws IOException, InterruptedException;

}
