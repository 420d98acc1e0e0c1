package org.burdocktray.process.serve;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.vavr.control.Either;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import org.burdocktray.model.Refusal;
import org.burdocktray.model.RefusalReason;
import org.burdocktray.request.admission.AdmissionPermit;
import org.burdocktray.request.admission.AdmissionRequest;
import org.burdocktray.request.chat.ChatRequest;
import org.burdocktray.request.chat.ChatRequestReader;
import org.burdocktray.request.stream.RoutePlanner;
import org.burdocktray.request.stream.StreamRequest;
import org.burdocktray.request.stream.StreamSession;
import org.burdocktray.request.stream.StreamTimeouts;
import org.burdocktray.version.bundle.Model;

/**
 * Handles {@code POST /v1/chat/completions}. Thread safety: safe for use by multiple
 * event loops; the state of a request is confined to the event loop of that request.
 */
final class ChatHandler {

	private static final String KIND = "chat";

	private static final int MAX_ATTEMPTS = 8;

	private static final int MAX_PROBES_WITHOUT_PROGRESS = 5;

	private static final int PREFIX_FINGERPRINT_CHARACTERS = 256;

	private final Vertx vertx;

	private final RequestServices services;

	private final ChatRequestReader reader = new ChatRequestReader();

	ChatHandler(Vertx vertx, RequestServices services) {
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
		Either<Refusal, ChatRequest> chat = this.reader.read(body).flatMap((parsed) -> checkModel(scope, parsed));
		CrashGuard crashGuard = this.services.crashGuard(scope, chat.map(ChatRequest::model).getOrElse(""), body,
				chat.map(ChatRequest::messages).getOrElse(List.of()));
		ChatExchange exchange = new ChatExchange(scope, request.response(), this.services, crashGuard, completion);
		if (chat.isLeft()) {
			exchange.refuse(chat.getLeft());
			return;
		}
		Optional<Refusal> quarantined = crashGuard.checkStart();
		if (quarantined.isPresent()) {
			exchange.refuse(quarantined.get());
			return;
		}
		admit(scope, chat.get(), exchange, crashGuard);
	}

	private static Either<Refusal, ChatRequest> checkModel(RequestScope scope, ChatRequest chat) {
		if (scope.snapshot().model(chat.model()).isEmpty()) {
			return Either
				.left(Refusal.notRun(RefusalReason.NOT_FOUND, "model: there is no model named '" + chat.model() + "'"));
		}
		List<String> allowed = scope.organisation().models();
		if (!allowed.isEmpty() && !allowed.contains(chat.model())) {
			return Either.left(Refusal.notRun(RefusalReason.FORBIDDEN,
					"model: your organisation may not use '" + chat.model() + "'"));
		}
		return Either.right(chat);
	}

	private void admit(RequestScope scope, ChatRequest chat, ChatExchange exchange, CrashGuard crashGuard) {
		Context context = this.vertx.getOrCreateContext();
		long deadlineNanos = scope.startNanos()
				+ TimeUnit.MILLISECONDS.toNanos(scope.bundle().limits().firstTokenTimeoutMillis());
		AdmissionRequest admissionRequest = new AdmissionRequest(scope.organisation(), chat.model(),
				maxTokens(scope, chat), deadlineNanos);
		this.services.admission()
			.admit(admissionRequest)
			.subscribe((decision) -> context
				.runOnContext((run) -> onAdmission(scope, chat, exchange, crashGuard, decision)));
	}

	private void onAdmission(RequestScope scope, ChatRequest chat, ChatExchange exchange, CrashGuard crashGuard,
			Either<Refusal, AdmissionPermit> decision) {
		if (decision.isLeft()) {
			exchange.refuse(decision.getLeft());
			return;
		}
		exchange.setPermit(decision.get());
		ChatResponseWriter responseWriter = chat.stream()
				? new StreamingChatResponseWriter(exchange.response(), scope.requestId(), chat.model(),
						scope.bundle().limits())
				: new BufferedChatResponseWriter(exchange.response(), scope.requestId(), chat.model());
		exchange.setResponseWriter(responseWriter, chat.model());
		StreamDriver driver = new StreamDriver(this.vertx, this.services.engines(),
				createSession(scope, chat, crashGuard), exchange, this.services::acquire);
		exchange.response().closeHandler((closed) -> driver.cancel());
		if (exchange.response().closed()) {
			exchange.onAbandoned();
			return;
		}
		driver.start();
	}

	private StreamSession createSession(RequestScope scope, ChatRequest chat, CrashGuard crashGuard) {
		Model model = scope.snapshot().model(chat.model()).orElseThrow();
		long timeoutNanos = TimeUnit.MILLISECONDS.toNanos(scope.bundle().limits().requestTimeoutMillis());
		StreamRequest streamRequest = new StreamRequest(scope.requestId(), model.name(), model.modelVersion(),
				scope.organisation().priority(), chat.prompt(), maxTokens(scope, chat), prefixFingerprint(chat),
				this.services.dataCentre(), scope.startNanos() + timeoutNanos);
		StreamTimeouts timeouts = new StreamTimeouts(
				TimeUnit.MILLISECONDS.toNanos(scope.bundle().limits().betweenTokensTimeoutMillis()),
				MAX_PROBES_WITHOUT_PROGRESS, MAX_ATTEMPTS);
		RoutePlanner planner = (query) -> this.services.chooseRoute(query, scope.snapshot());
		return new StreamSession(streamRequest, (query) -> crashGuard.plan(query, planner), crashGuard, timeouts);
	}

	private static int maxTokens(RequestScope scope, ChatRequest chat) {
		int limit = scope.snapshot().model(chat.model()).map(Model::maxOutputTokens).orElse(1);
		return Math.min(limit, chat.maxTokens().orElse(limit));
	}

	private static long prefixFingerprint(ChatRequest chat) {
		String prompt = chat.prompt();
		return Optional.of(prompt.substring(0, Math.min(PREFIX_FINGERPRINT_CHARACTERS, prompt.length())))
			.map(String::hashCode)
			.orElse(0);
	}

	static String kind() {
		return KIND;
	}

}
