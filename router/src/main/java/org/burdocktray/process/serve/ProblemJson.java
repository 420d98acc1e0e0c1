package org.burdocktray.process.serve;

import io.vertx.core.Future;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import org.burdocktray.model.Refusal;

/**
 * Writes refusals as problem details (RFC 9457) with the extension members {@code ran}
 * and {@code retryAfterMillis}. Thread safety: stateless.
 */
final class ProblemJson {

	private static final String CONTENT_TYPE = "application/problem+json";

	private static final long MILLIS_PER_SECOND = 1000;

	private ProblemJson() {
	}

	/**
	 * Ends a response with a refusal. Does nothing when the response is closed or its
	 * head was already sent.
	 * @param response the response
	 * @param refusal the refusal
	 * @param requestId the id of the request
	 * @return completes when the refusal is written, or cannot be written
	 */
	static Future<Void> send(HttpServerResponse response, Refusal refusal, String requestId) {
		if (response.closed() || response.headWritten()) {
			return Future.succeededFuture();
		}
		refusal.retryAfterMillis()
			.ifPresent((millis) -> response.putHeader("Retry-After", Long.toString(toSeconds(millis))));
		return response.setStatusCode(refusal.reason().httpStatus())
			.putHeader("Content-Type", CONTENT_TYPE)
			.end(toJson(refusal, requestId).toBuffer());
	}

	/**
	 * Converts a refusal to JSON.
	 * @param refusal the refusal
	 * @param requestId the id of the request
	 * @return the problem details
	 */
	static JsonObject toJson(Refusal refusal, String requestId) {
		JsonObject json = new JsonObject().put("type", "urn:burdocktray:problem:" + refusal.reason().problemType())
			.put("title", refusal.reason().problemType().replace('-', ' '))
			.put("status", refusal.reason().httpStatus())
			.put("detail", refusal.detail())
			.put("instance", requestId)
			.put("ran", refusal.verdict().wireName());
		refusal.retryAfterMillis().ifPresent((millis) -> json.put("retryAfterMillis", millis));
		return json;
	}

	private static long toSeconds(long millis) {
		return Math.max(1, (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
	}

}
