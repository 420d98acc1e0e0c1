package org.burdocktray.process.serve;

import io.vertx.core.http.HttpServerResponse;

/**
 * Responses to health checks. Thread safety: stateless.
 */
final class HealthResponses {

	private static final int STATUS_UNAVAILABLE = 503;

	private HealthResponses() {
	}

	static void sendReadiness(HttpServerResponse response, boolean ready) {
		if (!ready) {
			response.setStatusCode(STATUS_UNAVAILABLE).end("not ready\n");
			return;
		}
		response.end("ready\n");
	}

}
