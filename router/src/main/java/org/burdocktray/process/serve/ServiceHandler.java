package org.burdocktray.process.serve;

import java.util.Optional;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import org.burdocktray.connection.service.ServiceCall;
import org.burdocktray.model.Refusal;
import org.burdocktray.model.RefusalReason;
import org.burdocktray.process.claim.ClaimDecision;
import org.burdocktray.process.claim.ClaimRequest;
import org.burdocktray.request.service.RequestDigest;
import org.burdocktray.version.bundle.Service;
import org.burdocktray.version.bundle.ServiceRouteFinder;

/**
 * Handles {@code /services/{service}/…}. Thread safety: safe for use by multiple event
 * loops; the state of a request is confined to the event loop of that request.
 */
final class ServiceHandler {

	private static final String PREFIX = "/services/";

	private static final int MAX_KEY_CHARACTERS = 255;

	private final Vertx vertx;

	private final RequestServices services;

	ServiceHandler(Vertx vertx, RequestServices services) {
		this.vertx = vertx;
		this.services = services;
	}

	/**
	 * Handles one request.
	 * @param scope the request id, organisation and bundle version of the request
	 * @param request the request
	 * @param body its body
	 * @param completion runs once, when the request has ended
	 */
	void handle(RequestScope scope, HttpServerRequest request, byte[] body, Runnable completion) {
		ServiceExchange exchange = new ServiceExchange(scope, request.response(), this.services, completion);
		String subPath = request.path().substring(PREFIX.length());
		int slash = subPath.indexOf('/');
		String name = (slash < 0) ? subPath : subPath.substring(0, slash);
		String path = (slash < 0) ? "/" : subPath.substring(slash);
		Optional<Service> service = scope.snapshot().service(name);
		if (service.isEmpty()) {
			exchange.refuse(Refusal.notRun(RefusalReason.NOT_FOUND, "There is no service named '" + name + "'"));
			return;
		}
		Service.Route route = ServiceRouteFinder.find(service.get(), request.method().name(), path);
		Optional<String> key = Optional.ofNullable(request.getHeader("Idempotency-Key"));
		Optional<Refusal> keyRefusal = checkKey(key, route);
		if (keyRefusal.isPresent()) {
			exchange.refuse(keyRefusal.get());
			return;
		}
		String query = (request.query() != null) ? "?" + request.query() : "";
		ServiceCall call = new ServiceCall(request.method().name(), path + query, body,
				Optional.ofNullable(request.getHeader("Content-Type")), key, scope.requestId(), route.timeoutMillis());
		dispatch(service.get(), route, call, exchange);
	}

	private static Optional<Refusal> checkKey(Optional<String> key, Service.Route route) {
		if (key.isEmpty()) {
			return route.keyRequired() ? Optional
				.of(Refusal.notRun(RefusalReason.KEY_REQUIRED, "This route requires the header Idempotency-Key"))
					: Optional.empty();
		}
		if (key.get().isBlank() || key.get().length() > MAX_KEY_CHARACTERS) {
			return Optional.of(Refusal.notRun(RefusalReason.MALFORMED,
					"Idempotency-Key: expected 1 to " + MAX_KEY_CHARACTERS + " characters"));
		}
		return Optional.empty();
	}

	private void dispatch(Service service, Service.Route route, ServiceCall call, ServiceExchange exchange) {
		boolean hasKey = call.idempotencyKey().isPresent();
		if (route.idempotent() || (hasKey && service.removesDuplicatesByKey())) {
			exchange.callRepeatable(service, call);
			return;
		}
		if (!hasKey) {
			exchange.callOnce(service, call);
			return;
		}
		ClaimRequest claimRequest = new ClaimRequest(exchange.organisation(), call.idempotencyKey().get(),
				RequestDigest.of(service.name(), call), route.timeoutMillis());
		Context context = this.vertx.getOrCreateContext();
		this.services.claims()
			.claim(claimRequest)
			.subscribe((decision) -> context.runOnContext((run) -> onClaim(service, call, exchange, decision)));
	}

	private static void onClaim(Service service, ServiceCall call, ServiceExchange exchange, ClaimDecision decision) {
		if (decision instanceof ClaimDecision.Granted granted) {
			exchange.callWithClaim(service, call, granted.ticket());
		}
		else if (decision instanceof ClaimDecision.Replay replay) {
			exchange.replay(replay.response());
		}
		else if (decision instanceof ClaimDecision.Refused refused) {
			exchange.refuse(refused.refusal());
		}
	}

}
