import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Passes connections on. Those that are open can be made silent for good, without a reset. */
final class Proxy {

	private static final int BUFFER_BYTES = 65_536;

	private final ServerSocket listener = new ServerSocket();

	private final String target;

	private final Set<Link> links = ConcurrentHashMap.newKeySet();

	Proxy(String ip, String target) throws IOException {
		this.target = target;
		this.listener.bind(new InetSocketAddress(InetAddress.getByName(ip), 0), 1_024);
	}

	String address() {
		return this.listener.getInetAddress().getHostAddress() + ":" + this.listener.getLocalPort();
	}

	void start() {
		HttpServer.thread(this::accept);
	}

	/** Nothing passes on the connections that are open now; they stay open. */
	void silence() {
		this.links.forEach((link) -> link.silent = true);
		this.links.clear();
	}

	private void accept() {
		try {
			while (true) {
				Socket near = this.listener.accept();
				int colon = this.target.lastIndexOf(':');
				Socket far = new Socket(this.target.substring(0, colon),
						Integer.parseInt(this.target.substring(colon + 1)));
				near.setTcpNoDelay(true);
				far.setTcpNoDelay(true);
				Link link = new Link(near, far);
				this.links.add(link);
				HttpServer.thread(() -> link.pass(near, far));
				HttpServer.thread(() -> link.pass(far, near));
			}
		}
		catch (IOException ex) {
			// The program ends.
		}
	}

	private final class Link {

		private final Socket near;

		private final Socket far;

		private volatile boolean silent;

		Link(Socket near, Socket far) {
			this.near = near;
			this.far = far;
		}

		private void pass(Socket from, Socket to) {
			byte[] buffer = new byte[BUFFER_BYTES];
			try {
				for (int length = from.getInputStream().read(buffer); length >= 0; length = from.getInputStream()
					.read(buffer)) {
					if (this.silent) {
						continue;
					}
					to.getOutputStream().write(buffer, 0, length);
				}
			}
			catch (IOException ex) {
				// The other end is closed below.
			}
			if (!this.silent) {
				HttpServer.reset(this.near);
				HttpServer.reset(this.far);
				Proxy.this.links.remove(this);
			}
		}

	}

}
