package org.burdocktray.connection.caller;

import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * Why a client is turned away. The request that it was sending has not run and never
 * will. Thread safety: immutable.
 */
public enum ClientRefusal {

	/** The head is larger than the limit. */
	HEAD_TOO_LARGE(431, "Request Header Fields Too Large", "too-large", "the head is larger than the limit"),

	/** The head was not complete in time. */
	HEAD_LATE(408, "Request Timeout", "caller-timeout", "the head was not complete in time"),

	/** The length of the body can't be told. */
	INVALID_FRAMING(400, "Bad Request", "malformed", "the length of the body is ambiguous"),

	/** The heads of requests in progress take all the memory for them. */
	HEADS_IN_PROGRESS(503, "Service Unavailable", "overloaded", "requests in progress hold too many header lines"),

	/** Heads that are not complete take all the memory for them. */
	UNPARSED_BYTES(503, "Service Unavailable", "overloaded", "unfinished requests hold too many bytes"),

	/** The process has as many connections as it may. */
	CONNECTIONS(503, "Service Unavailable", "overloaded", "too many connections"),

	/** The framing of a body is broken, after the head was passed on. */
	INVALID_BODY(0, "", "", "the chunks of the body are invalid"),

	/** Nothing has happened on the connection for a while. */
	IDLE(0, "", "", "the connection is idle"),

	/** The rest of a body whose request was answered does not come. */
	BODY_LATE(0, "", "", "the rest of the body did not come in time"),

	/** The client reads nothing of its answer. */
	ANSWER_UNREAD(0, "", "", "the answer was not read in time"),

	/** Answers that clients have not read take all the memory for them. */
	UNREAD_BYTES(0, "", "", "answers that were not read hold too many bytes");

	private static final int SERVICE_UNAVAILABLE = 503;

	private final int status;

	private final String cause;

	private final byte[] answer;

	ClientRefusal(int status, String phrase, String problemType, String cause) {
		this.status = status;
		this.cause = cause;
		boolean isWorthRetrying = status == SERVICE_UNAVAILABLE;
		String body = "{\"type\":\"urn:burdocktray:problem:" + problemType + "\",\"title\":\"" + problemType
				+ "\",\"status\":" + status + ",\"detail\":\"" + cause + "\",\"ran\":\"no\""
				+ (isWorthRetrying ? ",\"retryAfterMillis\":1000" : "") + "}";
		String head = "HTTP/1.1 " + status + ' ' + phrase + "\r\nContent-Type: application/problem+json\r\n"
				+ (isWorthRetrying ? "Retry-After: 1\r\n" : "") + "Connection: close\r\nContent-Length: "
				+ body.length() + "\r\n\r\n";
		this.answer = (head + body).getBytes(StandardCharsets.US_ASCII);
	}

	/**
	 * Returns whether the client gets an answer before its connection is closed.
	 * @return false where it waits for none, or for that of an earlier request
	 */
	boolean hasAnswer() {
		return this.status > 0;
	}

	byte[] answer() {
		return this.answer;
	}

	/**
	 * Returns the word for metrics.
	 * @return the name in lower case
	 */
	public String wireName() {
		return name().toLowerCase(Locale.ROOT);
	}

	/**
	 * Returns the reason for logs.
	 * @return a sentence without its end
	 */
	public String cause() {
		return this.cause;
	}

}
