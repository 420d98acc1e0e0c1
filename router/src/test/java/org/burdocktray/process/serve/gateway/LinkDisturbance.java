package org.burdocktray.process.serve.gateway;

import java.util.List;
import java.util.Random;

import org.burdocktray.connection.http.AnswerText;

/**
 * What a faulty replica writes besides the answer to the request in progress. Thread
 * safety: immutable.
 *
 * @param kind its kind
 * @param before what it writes before the answer
 * @param behind what it writes behind the answer
 */
record LinkDisturbance(Kind kind, String before, String behind) {

	/**
	 * Draws a disturbance.
	 * @param random draws it
	 * @param earlier the earlier answers on the connection
	 * @param own the answer to the request in progress
	 * @return the disturbance; behind the first answer only, or within its head, if there
	 * are no earlier ones
	 */
	static LinkDisturbance draw(Random random, List<AnswerText> earlier, AnswerText own) {
		Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
		if (kind == Kind.FALSE_START) {
			return falseStart(random, own);
		}
		boolean isBefore = !earlier.isEmpty() && random.nextBoolean();
		AnswerText copied = isBefore ? earlier.get(random.nextInt(earlier.size())) : own;
		String copy = isBefore ? copy(random, copied) : copied.text();
		int middle = random.nextInt(copy.length() + 1);
		return switch (kind) {
			case WHOLE_COPY -> place(kind, isBefore, copy);
			case BROKEN_OFF -> place(kind, isBefore, copy.substring(0, middle));
			case INTERLEAVED -> isBefore ? new LinkDisturbance(kind, copy.substring(0, middle), copy.substring(middle))
					: place(kind, false, copy);
			case FOREIGN -> place(kind, isBefore, foreign(random, copied));
			case SPOILED -> place(kind, isBefore, spoil(random, copied));
			case END_ONLY -> place(kind, isBefore, copy.substring(middle));
			case FALSE_START -> throw new IllegalStateException();
		};
	}

	private static LinkDisturbance place(Kind kind, boolean isBefore, String text) {
		return isBefore ? new LinkDisturbance(kind, text, "") : new LinkDisturbance(kind, "", text);
	}

	// The replica begins an answer, breaks it off, and writes another one instead.
	private static LinkDisturbance falseStart(Random random, AnswerText own) {
		String id = own.read().id().orElseThrow();
		AnswerText begun = random.nextBoolean() ? AnswerText.plain(200, id, "begun", "begun")
				: AnswerText.signatureFirst(503, id, "begun", "begun");
		return new LinkDisturbance(Kind.FALSE_START, begun.text().substring(0, random.nextInt(begun.headLength())), "");
	}

	// As it was, or as a success with another body.
	private static String copy(Random random, AnswerText copied) {
		if (random.nextBoolean()) {
			return copied.text();
		}
		String id = copied.read().id().orElseThrow();
		String signature = copied.read().signature().orElseThrow();
		return AnswerText.signatureFirst(200, id, signature, "ok").text();
	}

	private static String foreign(Random random, AnswerText copied) {
		String idLine = "Id: " + copied.read().id().orElseThrow() + "\r\n";
		return copied.text().replace(idLine, switch (random.nextInt(3)) {
			case 0 -> "Id: elsewhere\r\n";
			case 1 -> "";
			default -> idLine + "Id: elsewhere\r\n";
		});
	}

	private static String spoil(Random random, AnswerText copied) {
		String text = copied.text();
		return switch (random.nextInt(5)) {
			case 0 -> text.replaceFirst("HTTP/1.1 (\\d+)", "HTTP/1.1 OK $1");
			case 1 -> text.replaceFirst("\r\n", "\r\nno colon here\r\n");
			case 2 -> text.replaceFirst("Id:", "Content-Length: -2\r\nId:");
			case 3 -> text.replaceFirst("HTTP/", "HTTQ/");
			default -> randomBytes(random);
		};
	}

	private static String randomBytes(Random random) {
		StringBuilder bytes = new StringBuilder();
		random.ints(random.nextInt(40), 0, 256).forEach((value) -> bytes.append((char) value));
		return bytes.toString();
	}

	/**
	 * Returns whether no client can tell it from the rest of an answer that was begun
	 * before.
	 * @return false if it has a status line
	 */
	boolean hasNoStatusLine() {
		return this.kind == Kind.SPOILED || this.kind == Kind.END_ONLY;
	}

	/**
	 * The kinds of disturbances.
	 */
	enum Kind {

		/** An earlier answer once more. */
		WHOLE_COPY,

		/** The beginning of an earlier answer. */
		BROKEN_OFF,

		/** The beginning of an earlier answer before the next one, the rest behind it. */
		INTERLEAVED,

		/** An answer that names no request of the connection, or several, or none. */
		FOREIGN,

		/** Bytes that are no answer. */
		SPOILED,

		/** The end of an earlier answer. */
		END_ONLY,

		/** The beginning of another answer to the request in progress. */
		FALSE_START

	}

}
