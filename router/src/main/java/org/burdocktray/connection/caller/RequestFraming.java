package org.burdocktray.connection.caller;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import io.vavr.control.Either;

/**
 * How long the body of a request is, as its head says. A head whose length can be read in
 * more than one way is refused. Source: RFC 9112, section 6. Thread safety: immutable.
 *
 * @param isChunked whether the body comes in chunks
 * @param contentLength the length of a body that does not
 */
record RequestFraming(boolean isChunked, long contentLength) {

	private static final String CONTENT_LENGTH = "content-length";

	private static final String TRANSFER_ENCODING = "transfer-encoding";

	private static final String CHUNKED = "chunked";

	private static final String FRAMING_VERSION = "HTTP/1.1";

	private static final int MAX_LENGTH_DIGITS = 18;

	/**
	 * Reads a complete head.
	 * @param head its bytes, of which continued lines are joined
	 * @param length the number of its bytes
	 * @return the framing, or why it is refused
	 */
	static Either<String, RequestFraming> read(byte[] head, int length) {
		int lineStart = nextLine(head, 0, length);
		if (lineStart < length && isFold(head[lineStart])) {
			return Either.left("a line before the headers is continued");
		}
		boolean isFramed = new String(head, 0, lineStart, StandardCharsets.ISO_8859_1).trim().endsWith(FRAMING_VERSION);
		joinContinuedLines(head, lineStart, length);
		Fields fields = new Fields();
		while (lineStart < length) {
			int lineEnd = nextLine(head, lineStart, length);
			Optional<String> fault = isFieldStart(head[lineStart]) ? fields.read(head, lineStart, lineEnd)
					: Optional.empty();
			if (fault.isPresent()) {
				return Either.left(fault.get());
			}
			lineStart = lineEnd;
		}
		return of(Optional.ofNullable(fields.values.get(CONTENT_LENGTH)),
				Optional.ofNullable(fields.values.get(TRANSFER_ENCODING)), isFramed);
	}

	private static Either<String, RequestFraming> of(Optional<String> length, Optional<String> encoding,
			boolean isFramed) {
		if (encoding.isPresent()) {
			boolean isReadable = length.isEmpty() && isFramed && CHUNKED.equalsIgnoreCase(encoding.get());
			return isReadable ? Either.right(new RequestFraming(true, 0))
					: Either.left("the transfer encoding is not the only framing, or not chunked");
		}
		if (length.isEmpty()) {
			return Either.right(new RequestFraming(false, 0));
		}
		return isLength(length.get()) ? Either.right(new RequestFraming(false, Long.parseLong(length.get())))
				: Either.left("the content length is no number");
	}

	private static boolean isLength(String text) {
		return !text.isEmpty() && text.length() <= MAX_LENGTH_DIGITS
				&& text.chars().allMatch((character) -> character >= '0' && character <= '9');
	}

	// Both blanks stand where the end of the line was, as section 5.2 allows.
	private static void joinContinuedLines(byte[] head, int from, int length) {
		for (int index = from; index + 1 < length; index++) {
			if (head[index] == '\n' && isFold(head[index + 1])) {
				head[index] = ' ';
				if (head[index - 1] == '\r') {
					head[index - 1] = ' ';
				}
			}
		}
	}

	private static boolean isFold(byte value) {
		return value == ' ' || value == '\t';
	}

	private static boolean isFieldStart(byte value) {
		return value == 'c' || value == 'C' || value == 't' || value == 'T';
	}

	// Only names as long as those that matter are made texts.
	private static String fieldName(byte[] head, int from, int to) {
		int end = from;
		while (end < to && head[end] != ':') {
			end++;
		}
		int maxLength = 2 * TRANSFER_ENCODING.length();
		return (end == to || end - from > maxLength) ? ""
				: new String(head, from, end - from, StandardCharsets.ISO_8859_1).toLowerCase(Locale.ROOT);
	}

	private static boolean isMisspelled(String name) {
		String trimmed = name.trim();
		return !trimmed.equals(name) && (CONTENT_LENGTH.equals(trimmed) || TRANSFER_ENCODING.equals(trimmed));
	}

	private static String fieldValue(byte[] head, int colon, int to) {
		return new String(head, colon + 1, to - colon - 1, StandardCharsets.ISO_8859_1).trim();
	}

	private static int nextLine(byte[] head, int from, int length) {
		int index = from;
		while (index < length && head[index] != '\n') {
			index++;
		}
		return Math.min(length, index + 1);
	}

	/** The fields that matter, each of which may come once. */
	private static final class Fields {

		private final Map<String, String> values = new HashMap<>();

		Optional<String> read(byte[] head, int lineStart, int lineEnd) {
			String name = fieldName(head, lineStart, lineEnd);
			if (isMisspelled(name)) {
				return Optional.of("blanks before the colon of " + name.trim());
			}
			if (!CONTENT_LENGTH.equals(name) && !TRANSFER_ENCODING.equals(name)) {
				return Optional.empty();
			}
			String before = this.values.put(name, fieldValue(head, lineStart + name.length(), lineEnd));
			return (before != null) ? Optional.of(name + " is given twice") : Optional.empty();
		}

	}

}
