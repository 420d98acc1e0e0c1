package org.burdocktray.connection.http;

import java.util.Optional;

/**
 * An answer as a server writes it, with what a client has to read. Thread safety:
 * immutable.
 *
 * @param text the bytes, one a character
 * @param read what a client has to read
 */
public record AnswerText(String text, ReadAnswer read) {

	private static final int CHUNK_BYTES = 7;

	/**
	 * Creates an answer with a content length, with the id before the signature.
	 * @param status its status
	 * @param id the id of its request
	 * @param signature its signature
	 * @param body its body
	 * @return the answer
	 */
	public static AnswerText plain(int status, String id, String signature, String body) {
		String notRun = (status == 503) ? "X-Not-Executed: 1\r\n" : "";
		return create(status, id, signature, body, "Id: " + id + "\r\nSignature: " + signature + "\r\n" + notRun
				+ "Content-Length: " + body.length() + "\r\n\r\n" + body);
	}

	/**
	 * Creates an answer with a content length, with the signature before the id.
	 * @param status its status
	 * @param id the id of its request
	 * @param signature its signature
	 * @param body its body
	 * @return the answer
	 */
	public static AnswerText signatureFirst(int status, String id, String signature, String body) {
		String notRun = (status == 503) ? "X-Not-Executed: 1\r\n" : "";
		return create(status, id, signature, body, notRun + "Signature: " + signature + "\r\nId: " + id
				+ "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
	}

	/**
	 * Creates an answer in chunks.
	 * @param status its status
	 * @param id the id of its request
	 * @param signature its signature
	 * @param body its body
	 * @param trailers the lines behind the last chunk, each with its end
	 * @return the answer
	 */
	public static AnswerText chunked(int status, String id, String signature, String body, String trailers) {
		StringBuilder chunks = new StringBuilder();
		for (int from = 0; from < body.length(); from += CHUNK_BYTES) {
			String chunk = body.substring(from, Math.min(body.length(), from + CHUNK_BYTES));
			chunks.append(Integer.toHexString(chunk.length())).append("\r\n").append(chunk).append("\r\n");
		}
		return create(status, id, signature, body, "Id: " + id + "\r\nSignature: " + signature
				+ "\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\n" + trailers + "\r\n");
	}

	/**
	 * Creates an answer whose head is followed by nothing.
	 * @param status its status
	 * @param id the id of its request
	 * @param signature its signature
	 * @param fields further lines of its head, each with its end
	 * @return the answer
	 */
	public static AnswerText withoutBody(int status, String id, String signature, String fields) {
		return create(status, id, signature, "",
				"Id: " + id + "\r\nSignature: " + signature + "\r\n" + fields + "\r\n");
	}

	/**
	 * Creates an answer that ends with its connection.
	 * @param status its status
	 * @param id the id of its request
	 * @param signature its signature
	 * @param body its body
	 * @return the answer
	 */
	public static AnswerText closeDelimited(int status, String id, String signature, String body) {
		return create(status, id, signature, body, "Id: " + id + "\r\nSignature: " + signature + "\r\n\r\n" + body);
	}

	private static AnswerText create(int status, String id, String signature, String body, String rest) {
		return new AnswerText("HTTP/1.1 " + status + " Status\r\n" + rest,
				new ReadAnswer(status, Optional.of(id), Optional.of(signature), body));
	}

	/**
	 * Puts an interim answer before the answer.
	 * @param status the status of the interim one
	 * @return both
	 */
	public AnswerText behindInterim(int status) {
		return new AnswerText("HTTP/1.1 " + status + " Interim\r\nLink: x\r\n\r\n" + this.text, this.read);
	}

	/**
	 * Returns the number of bytes up to the body.
	 * @return the number, with the empty line
	 */
	public int headLength() {
		return this.text.indexOf("\r\n\r\n") + 4;
	}

}
