package org.burdocktray.process.serve.gateway;

import java.util.Optional;

import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.SocketAddress;

/**
 * Tells for logs which answer was read: two answers to one request differ in their
 * signatures, or came on different connections. Thread safety: immutable.
 *
 * @param status the status of the answer, 0 before one has come
 * @param signature its signature, shortened, without spaces; empty if it has none
 * @param localPort the port of this VM on the connection, which names the connection
 * while it is open; 0 if it is not known
 */
record AnswerOrigin(int status, String signature, int localPort) {

	/** The origin of an answer that has not come. */
	static final AnswerOrigin NONE = new AnswerOrigin(0, "", 0);

	private static final int MAX_CHARACTERS = 48;

	static AnswerOrigin of(HttpClientResponse response, Optional<String> signature) {
		int localPort = Optional.ofNullable(response.request().connection())
			.map(HttpConnection::localAddress)
			.map(SocketAddress::port)
			.orElse(0);
		return new AnswerOrigin(response.statusCode(), signature.map(AnswerOrigin::shorten).orElse(""), localPort);
	}

	/**
	 * Makes a text of an answer a value of a log line.
	 * @param text the value of a header
	 * @return its beginning, without spaces
	 */
	static String shorten(String text) {
		return text.substring(0, Math.min(MAX_CHARACTERS, text.length())).replace(' ', '_');
	}

	/**
	 * Returns the fields of a log line.
	 * @return the fields, separated by spaces
	 */
	@Override
	public String toString() {
		return "answerStatus=" + this.status + " signature=" + this.signature + " connection=" + this.localPort;
	}

}
