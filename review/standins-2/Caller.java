import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** Sends requests to gateways, each on a connection of its own, and records the answers. */
final class Caller {

	private static final AtomicLong COUNT = new AtomicLong();

	private final Record record;

	private final String host;

	private final String key;

	Caller(Record record, String host, String key) {
		this.record = record;
		this.host = host;
		this.key = key;
	}

	/** An answer; the status is 0 if the connection ended without a whole one. */
	record Answer(String requestId, int status, String notRun) {

	}

	Answer send(Gateway gateway, String method, String path, byte[] body, long deadlineMillis) {
		String requestId = String.format("%016x", 0x5eed_0000L + COUNT.incrementAndGet());
		this.record.add("caller sends %s %s %s to %s", requestId, method, path, gateway.name());
		Answer answer;
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(gateway.ip(), gateway.callerPort()), 1_000);
			socket.setSoTimeout((int) deadlineMillis + 1_000);
			StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: " + this.host
					+ "\r\nX-Burdocktray-Request-Id: " + requestId + "\r\nX-Burdocktray-Deadline-Ms: "
					+ deadlineMillis + "\r\nAuthorization: Bearer " + this.key + "\r\nX-Case-Gateway: "
					+ gateway.name() + "\r\n");
			if (body.length > 0) {
				head.append("Content-Length: ").append(body.length).append("\r\n");
			}
			head.append("Connection: close\r\n\r\n");
			socket.getOutputStream().write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
			socket.getOutputStream().write(body);
			socket.getOutputStream().flush();
			Http.Message response = Http.read(new BufferedInputStream(socket.getInputStream()), true);
			answer = (response == null) ? new Answer(requestId, 0, "") : new Answer(requestId, response.status(),
					response.text());
		}
		catch (IOException ex) {
			answer = new Answer(requestId, 0, ex.getMessage());
		}
		this.record.add("caller gets %s status=%d", requestId, answer.status());
		return answer;
	}

}
