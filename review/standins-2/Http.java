import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads and writes HTTP/1.1 messages. */
final class Http {

	private static final int MAX_LINE_BYTES = 65_536;

	private Http() {
	}

	/** A message; the first line is a request line or a status line. */
	record Message(String firstLine, Map<String, String> headers, byte[] body) {

		String header(String name) {
			return this.headers.get(name);
		}

		String method() {
			return this.firstLine.split(" ")[0];
		}

		String target() {
			return this.firstLine.split(" ")[1];
		}

		int status() {
			return Integer.parseInt(this.firstLine.split(" ")[1]);
		}

		String text() {
			return new String(this.body, StandardCharsets.UTF_8);
		}

	}

	/** Reads a message; returns null at the regular end of the connection. */
	static Message read(BufferedInputStream input, boolean isResponse) throws IOException {
		String firstLine = readLine(input);
		if (firstLine == null) {
			return null;
		}
		Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
		for (String line = readLine(input); !"".equals(line); line = readLine(input)) {
			if (line == null) {
				throw new EOFException("connection ended within a head");
			}
			int colon = line.indexOf(':');
			headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
		}
		return new Message(firstLine, headers, readBody(input, headers, isResponse));
	}

	private static byte[] readBody(InputStream input, Map<String, String> headers, boolean isResponse)
			throws IOException {
		String coding = headers.get("Transfer-Encoding");
		if (coding != null && coding.toLowerCase(Locale.ROOT).contains("chunked")) {
			return readChunks(input);
		}
		String length = headers.get("Content-Length");
		if (length != null) {
			byte[] body = input.readNBytes(Integer.parseInt(length));
			if (body.length < Integer.parseInt(length)) {
				throw new EOFException("connection ended within a body");
			}
			return body;
		}
		return isResponse ? input.readAllBytes() : new byte[0];
	}

	private static byte[] readChunks(InputStream input) throws IOException {
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		while (true) {
			String line = readLine(input);
			if (line == null) {
				throw new EOFException("connection ended within a chunked body");
			}
			int size = Integer.parseInt(line.split(";")[0].trim(), 16);
			byte[] chunk = input.readNBytes(size);
			if (chunk.length < size) {
				throw new EOFException("connection ended within a chunk");
			}
			body.write(chunk);
			readLine(input);
			if (size == 0) {
				return body.toByteArray();
			}
		}
	}

	private static String readLine(InputStream input) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		for (int next = input.read(); next != '\n'; next = input.read()) {
			if (next < 0) {
				return (line.size() == 0) ? null : line.toString(StandardCharsets.ISO_8859_1);
			}
			if (line.size() > MAX_LINE_BYTES) {
				throw new IOException("line is too long");
			}
			if (next != '\r') {
				line.write(next);
			}
		}
		return line.toString(StandardCharsets.ISO_8859_1);
	}

	/** Writes a response with a length. */
	static byte[] response(int status, Map<String, String> headers, byte[] body) {
		StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " " + reason(status) + "\r\n");
		headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
		head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		bytes.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
		bytes.writeBytes(body);
		return bytes.toByteArray();
	}

	private static String reason(int status) {
		return switch (status) {
			case 200 -> "OK";
			case 404 -> "Not Found";
			case 409 -> "Conflict";
			case 410 -> "Gone";
			case 421 -> "Misdirected Request";
			case 503 -> "Service Unavailable";
			default -> "Status";
		};
	}

}
