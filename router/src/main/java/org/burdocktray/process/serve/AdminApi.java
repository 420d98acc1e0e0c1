package org.burdocktray.process.serve;

import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import org.burdocktray.process.metrics.CachedScrape;
import org.burdocktray.process.metrics.RouterMetrics;

/**
 * HTTP interface for operators and for the platform's load balancer: metrics, health and
 * status. Thread safety: safe for use by multiple event loops.
 */
final class AdminApi {

	private static final int STATUS_NOT_FOUND = 404;

	private final CachedScrape metrics;

	private final BooleanSupplier ready;

	private final Supplier<JsonObject> status;

	AdminApi(RouterMetrics metrics, BooleanSupplier ready, Supplier<JsonObject> status) {
		this.metrics = new CachedScrape(metrics::render, System::nanoTime);
		this.ready = ready;
		this.status = status;
	}

	/**
	 * Handles one request.
	 * @param request the request
	 */
	void handle(HttpServerRequest request) {
		switch (String.valueOf(request.path())) {
			case "/healthz":
				request.response().end("ok\n");
				break;
			case "/readyz":
				HealthResponses.sendReadiness(request.response(), this.ready.getAsBoolean());
				break;
			case "/metrics":
				request.response()
					.putHeader("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
					.end(this.metrics.get());
				break;
			case "/status":
				request.response().putHeader("Content-Type", "application/json").end(this.status.get().toBuffer());
				break;
			default:
				request.response().setStatusCode(STATUS_NOT_FOUND).end();
		}
	}

}
