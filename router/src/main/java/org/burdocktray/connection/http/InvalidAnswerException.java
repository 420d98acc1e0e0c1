package org.burdocktray.connection.http;

import io.netty.handler.codec.DecoderException;

/**
 * An answer is not in the form of HTTP/1.1. Thread safety: that of exceptions.
 */
final class InvalidAnswerException extends DecoderException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param fault the part of the answer and what is wrong with it, without its content
	 */
	InvalidAnswerException(String fault) {
		super("answer is not valid HTTP/1.1: " + fault);
	}

}
