package org.burdocktray.process.serve;

import java.util.Map;

import org.burdocktray.model.Refusal;
import org.jboss.logging.Logger;
import org.jboss.logging.MDC;

/**
 * Logs the outcome of each request with its id, organisation, bundle version and verdict.
 * Keys, prompts and bodies are never logged. Thread safety: the fields are set in the
 * logging context (MDC) of the calling thread and cleared within the same call.
 */
final class RequestLog {

	private static final Logger LOGGER = Logger.getLogger(RequestLog.class);

	private RequestLog() {
	}

	static void logAnswered(RequestScope scope, String kind, String upstreams, long elapsedMillis) {
		log(scope, Map.of("kind", kind, "upstream", upstreams, "verdict", "yes", "elapsedMillis", elapsedMillis),
				"Request answered");
	}

	static void logRefused(RequestScope scope, String kind, String upstreams, Refusal refusal, long elapsedMillis) {
		log(scope,
				Map.of("kind", kind, "upstream", upstreams, "verdict", refusal.verdict().wireName(), "reason",
						refusal.reason().problemType(), "detail", refusal.detail(), "elapsedMillis", elapsedMillis),
				"Request refused");
	}

	static void logAbandoned(RequestScope scope, String kind, String upstreams, long elapsedMillis) {
		log(scope, Map.of("kind", kind, "upstream", upstreams, "verdict", "unknown", "elapsedMillis", elapsedMillis),
				"Caller went away");
	}

	private static void log(RequestScope scope, Map<String, Object> fields, String message) {
		if (!LOGGER.isInfoEnabled()) {
			return;
		}
		MDC.put("requestId", scope.requestId());
		MDC.put("organisation", scope.organisation().name());
		MDC.put("bundleVersion", scope.bundle().version());
		fields.forEach(MDC::put);
		LOGGER.info(message);
		MDC.clear();
	}

}
