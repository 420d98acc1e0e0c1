package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server and client on blocking sockets, one thread for each connection. */
final class Http {

	private Http() {
	}

	/** A request or a response. The names of headers are in lower case. */
	record Message(String start, Map<String, String> headers, byte[] body) {

		String method() {
			return this.start.split(" ")[0];
		}

		String target() {
			return this.start.split(" ")[1];
		}

		int status() {
			return Integer.parseInt(this.start.split(" ")[1]);
		}

		String header(String name) {
			return this.headers.get(name);
		}

		String text() {
			return new String(this.body, StandardCharsets.UTF_8);
		}

	}

	/** Handles one request; returns false to close the connection. */
	interface Handler {

		boolean handle(Message request, Connection connection) throws IOException, InterruptedException;

	}

	/** One connection of a server or of a client. */
	static final class Connection implements AutoCloseable {

		final Socket socket;

		final InputStream in;

		final OutputStream out;

		Connection(Socket socket) throws IOException {
			this.socket = socket;
			socket.setTcpNoDelay(true);
			this.in = new BufferedInputStream(socket.getInputStream(), 65_536);
			this.out = socket.getOutputStream();
		}

		static Connection open(String ip, int port, int timeoutMillis) throws IOException {
			Socket socket = new Socket();
			socket.connect(new InetSocketAddress(ip, port), 1_000);
			socket.setSoTimeout(timeoutMillis);
			return new Connection(socket);
		}

		void send(String start, Map<String, String> headers, byte[] body) throws IOException {
			StringBuilder head = new StringBuilder(start).append("\r\n");
			headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
			head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
			byte[] bytes = head.toString().getBytes(StandardCharsets.ISO_8859_1);
			ByteArrayOutputStream all = new ByteArrayOutputStream(bytes.length + body.length);
			all.writeBytes(bytes);
			all.writeBytes(body);
			this.out.write(all.toByteArray());
			this.out.flush();
		}

		void respond(int status, Map<String, String> headers, String body) throws IOException {
			send("HTTP/1.1 " + status + " Status", headers, body.getBytes(StandardCharsets.UTF_8));
		}

		/** Returns the next message, or null if the peer has closed the connection before it. */
		Message receive() throws IOException {
			String start = line();
			if (start == null) {
				return null;
			}
			Map<String, String> headers = new LinkedHashMap<>();
			for (String line = line(); line != null && !line.isEmpty(); line = line()) {
				int colon = line.indexOf(':');
				headers.put(line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
			}
			return new Message(start, headers, body(start, headers));
		}

		private byte[] body(String start, Map<String, String> headers) throws IOException {
			if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
				ByteArrayOutputStream body = new ByteArrayOutputStream();
				while (true) {
					int size = Integer.parseInt(line().split(";")[0].trim(), 16);
					body.writeBytes(exactly(size));
					line();
					if (size == 0) {
						return body.toByteArray();
					}
				}
			}
			return exactly(Integer.parseInt(headers.getOrDefault("content-length", "0")));
		}

		private byte[] exactly(int length) throws IOException {
			byte[] bytes = this.in.readNBytes(length);
			if (bytes.length < length) {
				throw new EOFException("connection closed within a body");
			}
			return bytes;
		}

		private String line() throws IOException {
			StringBuilder line = new StringBuilder();
			for (int next = this.in.read(); next != '\n'; next = this.in.read()) {
				if (next < 0) {
					return null;
				}
				if (next != '\r') {
					line.append((char) next);
				}
			}
			return line.toString();
		}

		@Override
		public void close() {
			try {
				this.socket.close();
			}
			catch (IOException ex) {
				// It is closed already.
			}
		}

	}

	/** A server on one address. */
	static final class Server implements AutoCloseable {

		final String ip;

		final int port;

		final Set<Connection> connections = ConcurrentHashMap.newKeySet();

		private final ServerSocket socket;

		private final Handler handler;

		Server(String ip, int port, Handler handler) throws IOException {
			this.ip = ip;
			this.handler = handler;
			this.socket = new ServerSocket(port, 1_024, InetAddress.getByName(ip));
			this.port = this.socket.getLocalPort();
			daemon(this::accept);
		}

		String address() {
			return this.ip + ":" + this.port;
		}

		private void accept() {
			while (!this.socket.isClosed()) {
				try {
					Connection connection = new Connection(this.socket.accept());
					daemon(() -> serve(connection));
				}
				catch (IOException ex) {
					// Closed.
				}
			}
		}

		private void serve(Connection connection) {
			this.connections.add(connection);
			try (connection) {
				for (Message request = connection.receive(); request != null; request = connection.receive()) {
					if (!this.handler.handle(request, connection)) {
						return;
					}
				}
			}
			catch (IOException | InterruptedException ex) {
				// The peer has closed the connection.
			}
			finally {
				this.connections.remove(connection);
			}
		}

		@Override
		public void close() {
			try {
				this.socket.close();
			}
			catch (IOException ex) {
				// It is closed already.
			}
			this.connections.forEach(Connection::close);
		}

	}

	static Thread daemon(Runnable action) {
		Thread thread = new Thread(null, action, "stand-in", 262_144);
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

}
