package org.burdocktray.process.serve.gateway;

import io.vertx.core.MultiMap;

/**
 * Reads and writes the headers that the platform defines. Thread safety: implementations
 * are stateless.
 */
public interface HeaderCodec {

	/**
	 * Reads a caller's request.
	 * @param headers its headers
	 * @return what they say
	 */
	RequestHead readRequest(MultiMap headers);

	/**
	 * Writes the headers of a forwarded request: the caller's, without those that concern
	 * one connection and without the key, and this VM's.
	 * @param received the caller's headers
	 * @param added what this VM adds
	 * @param forwarded takes the headers
	 */
	void writeForwardedRequest(MultiMap received, ForwardHead added, MultiMap forwarded);

	/**
	 * Reads a replica's answer.
	 * @param statusCode its status
	 * @param headers its headers
	 * @return what they say
	 */
	ResponseHead readResponse(int statusCode, MultiMap headers);

	/**
	 * Writes the headers of an answer to a caller: the replica's, without those that
	 * concern one connection.
	 * @param received the replica's headers
	 * @param answer takes the headers
	 */
	void writeResponse(MultiMap received, MultiMap answer);

}
