package org.burdocktray.process.serve.gateway;

import java.util.Optional;

import io.vertx.core.MultiMap;

/**
 * Reads and writes the headers that the platform defines. Thread safety: implementations
 * are stateless.
 */
public interface HeaderCodec {

	/**
	 * Reads the headers of a caller's request.
	 * @param headers the headers
	 * @return the fields that the gateway uses
	 */
	RequestHead readRequest(MultiMap headers);

	/**
	 * Writes the headers of a forwarded request: the caller's, except the key and those
	 * that apply to one connection only, and the fields that this VM adds.
	 * @param received the caller's headers
	 * @param added the fields that this VM adds
	 * @param forwarded the headers to write to
	 */
	void writeForwardedRequest(MultiMap received, ForwardHead added, MultiMap forwarded);

	/**
	 * Writes the headers of a request that is relayed to another VM: the caller's with
	 * the key, except those that apply to one connection only.
	 * @param received the caller's headers
	 * @param remainingMillis the time until the deadline
	 * @param lastEventId the id of the event after which a resumed stream continues
	 * @param relayed the headers to write to
	 */
	void writeRelayedRequest(MultiMap received, long remainingMillis, Optional<String> lastEventId, MultiMap relayed);

	/**
	 * Returns the header that holds the id of a request, in the request and its answer.
	 * @return the name of the header
	 */
	String requestIdHeader();

	/**
	 * Reads the headers of a replica's response.
	 * @param statusCode the HTTP status
	 * @param headers the headers
	 * @return the fields that the gateway uses
	 */
	ResponseHead readResponse(int statusCode, MultiMap headers);

	/**
	 * Writes the headers of the response to a caller: the replica's, except those that
	 * apply to one connection only.
	 * @param received the replica's headers
	 * @param response the headers to write to
	 */
	void writeResponse(MultiMap received, MultiMap response);

}
