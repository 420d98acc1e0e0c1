package org.burdocktray.process.serve;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.burdocktray.model.Refusal;
import org.burdocktray.model.RefusalReason;
import org.burdocktray.process.limits.BodyMemory;
import org.burdocktray.version.bundle.Model;
import org.burdocktray.version.bundle.Organisation;

/**
 * HTTP interface for callers. For each request it pins the current bundle version,
 * authenticates the caller, reads the body and dispatches to the handler of the path.
 * Thread safety: safe for use by multiple event loops.
 */
final class CallerApi {

	private static final String CHAT_PATH = "/v1/chat/completions";

	private static final String MODELS_PATH = "/v1/models";

	private static final String SERVICES_PREFIX = "/services/";

	private static final int HEADER_SEPARATOR_BYTES = 4;

	private static final long NOT_READY_RETRY_AFTER_MILLIS = 1000;

	private final Vertx vertx;

	private final CurrentVersion currentVersion;

	private final RequestServices services;

	private final RequestsInProgress inProgress;

	private final ChatHandler chat;

	private final ServiceHandler service;

	private final String requestIdPrefix;

	private final AtomicLong requestCount = new AtomicLong();

	private final BodyMemory bodyMemory = BodyMemory.ofHeap();

	CallerApi(Vertx vertx, CurrentVersion currentVersion, RequestServices services, RequestsInProgress inProgress,
			String requestIdPrefix) {
		this.vertx = vertx;
		this.currentVersion = currentVersion;
		this.services = services;
		this.inProgress = inProgress;
		this.chat = new ChatHandler(vertx, services);
		this.service = new ServiceHandler(vertx, services);
		this.requestIdPrefix = requestIdPrefix;
	}

	/**
	 * Handles one request.
	 * @param request the request
	 */
	void handle(HttpServerRequest request) {
		if (request.path() == null || request.path().equals("/healthz")) {
			request.response().end("ok\n");
			return;
		}
		if (request.path().equals("/readyz")) {
			HealthResponses.sendReadiness(request.response(), isReady());
			return;
		}
		String requestId = this.requestIdPrefix + this.requestCount.incrementAndGet();
		request.response().putHeader("X-Request-Id", requestId);
		if (!this.inProgress.tryEnter()) {
			request.response().putHeader("Connection", "close");
			refuseNotReady(request, requestId, "This VM is shutting down");
			return;
		}
		this.services.metrics().recordRequestStarted();
		serve(request, requestId);
	}

	boolean isReady() {
		return this.currentVersion.get().isPresent() && !this.inProgress.isClosed();
	}

	private void serve(HttpServerRequest request, String requestId) {
		long startNanos = System.nanoTime();
		Optional<PinnedVersion> version = this.currentVersion.get();
		if (version.isEmpty()) {
			refuse(request, requestId, Refusal.notRunRetryAfter(RefusalReason.NOT_READY,
					"This VM has no signed-off bundle yet", NOT_READY_RETRY_AFTER_MILLIS));
			return;
		}
		int maxHeaderBytes = version.get().snapshot().bundle().limits().maxHeaderBytes();
		if (headerBytes(request) > maxHeaderBytes) {
			refuse(request, requestId,
					Refusal.notRun(RefusalReason.TOO_LARGE, "The headers are over " + maxHeaderBytes + " bytes"));
			return;
		}
		Optional<Organisation> organisation = version.get()
			.authenticator()
			.authenticate(Optional.ofNullable(request.getHeader("Authorization")));
		if (organisation.isEmpty()) {
			refuse(request, requestId, Refusal.notRun(RefusalReason.UNAUTHENTICATED,
					"Authorization: expected 'Bearer' and a known API key"));
			return;
		}
		RequestScope scope = new RequestScope(requestId, organisation.get(), version.get().snapshot(), startNanos);
		dispatch(request, scope);
	}

	private void dispatch(HttpServerRequest request, RequestScope scope) {
		String path = request.path();
		if (path.equals(CHAT_PATH)) {
			if (request.method() != HttpMethod.POST) {
				refuseMethod(request, scope.requestId(), "POST");
				return;
			}
			readBody(request, scope, (body, onEnd) -> this.chat.handle(scope, request, body, onEnd));
			return;
		}
		if (path.equals(MODELS_PATH)) {
			listModels(request, scope);
			return;
		}
		if (path.startsWith(SERVICES_PREFIX)) {
			readBody(request, scope, (body, onEnd) -> this.service.handle(scope, request, body, onEnd));
			return;
		}
		refuse(request, scope.requestId(), Refusal.notRun(RefusalReason.NOT_FOUND, "There is no such path"));
	}

	private static int headerBytes(HttpServerRequest request) {
		int bytes = request.uri().length();
		for (Map.Entry<String, String> header : request.headers()) {
			bytes += header.getKey().length() + header.getValue().length() + HEADER_SEPARATOR_BYTES;
		}
		return bytes;
	}

	private void readBody(HttpServerRequest request, RequestScope scope, BodyConsumer consumer) {
		BodyMemory.Reservation reservation = this.bodyMemory.open();
		BodyReader.read(this.vertx, request, scope.bundle().limits(), reservation).onSuccess((body) -> {
			if (body.isLeft()) {
				reservation.close();
				refuse(request, scope.requestId(), body.getLeft());
				return;
			}
			consumer.accept(body.get(), () -> {
				reservation.close();
				this.inProgress.leave();
			});
		}).onFailure((cause) -> {
			reservation.close();
			abandon();
		});
	}

	private void listModels(HttpServerRequest request, RequestScope scope) {
		if (request.method() != HttpMethod.GET) {
			refuseMethod(request, scope.requestId(), "GET");
			return;
		}
		JsonArray data = new JsonArray();
		for (Model model : scope.bundle().models()) {
			data.add(new JsonObject().put("id", model.name()).put("object", "model").put("owned_by", "burdocktray"));
		}
		request.response()
			.putHeader("Content-Type", "application/json")
			.end(new JsonObject().put("object", "list").put("data", data).toBuffer())
			.onComplete((written) -> this.inProgress.leave());
		this.services.metrics().recordRequestAnswered("models");
	}

	private void refuseMethod(HttpServerRequest request, String requestId, String allowed) {
		request.response().putHeader("Allow", allowed);
		refuse(request, requestId, Refusal.notRun(RefusalReason.METHOD_NOT_ALLOWED, "The path takes " + allowed));
	}

	private void refuse(HttpServerRequest request, String requestId, Refusal refusal) {
		ProblemJson.send(request.response(), refusal, requestId).onComplete((written) -> this.inProgress.leave());
		this.services.metrics().recordRequestRefused("unrouted", refusal.reason(), refusal.verdict());
	}

	private void abandon() {
		this.services.metrics().recordRequestAbandoned("unrouted");
		this.inProgress.leave();
	}

	private static void refuseNotReady(HttpServerRequest request, String requestId, String detail) {
		ProblemJson.send(request.response(),
				Refusal.notRunRetryAfter(RefusalReason.NOT_READY, detail, NOT_READY_RETRY_AFTER_MILLIS), requestId);
	}

	/** Consumer of a complete request body. */
	@FunctionalInterface
	private interface BodyConsumer {

		void accept(byte[] body, Runnable onEnd);

	}

}
