package org.burdocktray.connection.http;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * What the head of an answer says of its body (RFC 9112, section 6). Invariant: a head
 * whose fields leave the end of the body in doubt is refused, since what follows would be
 * read as another answer or as a part of this one. Thread safety: none.
 */
final class AnswerHead {

	private static final String CHUNKED = "chunked";

	private static final int SWITCHING_PROTOCOLS = 101;

	private static final int FIRST_FINAL_STATUS = 200;

	private static final int NO_CONTENT = 204;

	private static final int NOT_MODIFIED = 304;

	private final int status;

	private final boolean isVersion10;

	private final List<String> lengths = new ArrayList<>();

	private final List<String> transferCodings = new ArrayList<>();

	/**
	 * Begins a head.
	 * @param statusLine the first line
	 * @throws InvalidAnswerException if it is no status line, or that of an answer that
	 * nobody has asked for
	 */
	AnswerHead(String statusLine) {
		this.status = AnswerSyntax.readStatus(statusLine);
		this.isVersion10 = AnswerSyntax.isVersion10(statusLine);
		if (this.status == SWITCHING_PROTOCOLS) {
			throw new InvalidAnswerException("switch to another protocol");
		}
	}

	/**
	 * Adds a field.
	 * @param line the line without its end
	 * @throws InvalidAnswerException if it is no field line
	 */
	void addField(String line) {
		int colon = AnswerSyntax.checkField(line);
		String name = line.substring(0, colon);
		if ("Content-Length".equalsIgnoreCase(name)) {
			this.lengths.add(line.substring(colon + 1).strip());
		}
		else if ("Transfer-Encoding".equalsIgnoreCase(name)) {
			this.transferCodings.add(line.substring(colon + 1).strip());
		}
	}

	/**
	 * Returns whether another answer to the same request follows.
	 * @return true for an interim answer
	 */
	boolean isInterim() {
		return this.status < FIRST_FINAL_STATUS;
	}

	/**
	 * Returns whether the body comes in chunks.
	 * @return false as well if there is no body
	 * @throws InvalidAnswerException if it has another coding, or a length beside
	 */
	boolean isChunked() {
		if (this.transferCodings.isEmpty()) {
			return false;
		}
		boolean isKnown = this.transferCodings.size() == 1 && CHUNKED.equalsIgnoreCase(this.transferCodings.get(0));
		if (!isKnown || this.isVersion10 || !this.lengths.isEmpty()) {
			throw new InvalidAnswerException("transfer coding");
		}
		return true;
	}

	/**
	 * Returns the length of the body.
	 * @return bytes, empty if the head does not tell it
	 * @throws InvalidAnswerException if there are several, or one that is no length
	 */
	OptionalLong length() {
		if (this.lengths.isEmpty()) {
			return OptionalLong.empty();
		}
		if (this.lengths.size() > 1) {
			throw new InvalidAnswerException("several lengths");
		}
		return OptionalLong.of(AnswerSyntax.readLength(this.lengths.get(0)));
	}

	/**
	 * Returns whether the answer has no body whatever its fields say.
	 * @param answersHead whether it answers a HEAD request
	 * @return whether the next answer follows the head
	 */
	boolean isWithoutBody(boolean answersHead) {
		return answersHead || isInterim() || this.status == NO_CONTENT || this.status == NOT_MODIFIED;
	}

}
