package org.burdocktray.process.serve;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.core.Single;
import io.vavr.control.Either;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import org.burdocktray.connection.service.ServiceCall;
import org.burdocktray.connection.service.ServiceFailure;
import org.burdocktray.connection.service.ServiceResponse;
import org.burdocktray.model.Refusal;
import org.burdocktray.model.RefusalReason;
import org.burdocktray.model.Verdict;
import org.burdocktray.process.claim.ClaimTicket;
import org.burdocktray.process.claim.RecordedResponse;
import org.burdocktray.process.load.InFlight;
import org.burdocktray.version.bundle.Objective;
import org.burdocktray.version.bundle.Service;

/**
 * Handles one call to a plain service. Invariant: a call that may not be repeated is
 * retried at another upstream only if every earlier attempt provably did not run it; the
 * completion callback runs once, when the response is written or cannot be written.
 * Thread safety: confined to the event loop of the request.
 */
final class ServiceExchange {

	private static final String KIND = "service";

	private static final int MAX_ATTEMPTS = 3;

	private static final int MAX_RECORDED_BODY_BYTES = 8192;

	private static final long RETRY_AFTER_MILLIS = 2000;

	private static final long RECORD_TIMEOUT_MILLIS = 1000;

	private final RequestScope scope;

	private final HttpServerResponse response;

	private final RequestServices services;

	private final Runnable completion;

	private final Context context = Vertx.currentContext();

	private final Set<String> triedUpstreams = new HashSet<>();

	private Verdict verdict = Verdict.NOT_RUN;

	private String upstream = "";

	private boolean ended;

	ServiceExchange(RequestScope scope, HttpServerResponse response, RequestServices services, Runnable completion) {
		this.scope = scope;
		this.response = response;
		this.services = services;
		this.completion = completion;
	}

	String organisation() {
		return this.scope.organisation().name();
	}

	void callRepeatable(Service service, ServiceCall call) {
		attempt(service, call, true, this::finish);
	}

	void callOnce(Service service, ServiceCall call) {
		attempt(service, call, false, this::finish);
	}

	void callWithClaim(Service service, ServiceCall call, ClaimTicket ticket) {
		if (this.response.closed()) {
			// The caller has disconnected: the call is not sent and its key is released.
			this.services.claims()
				.recordNotRun(ticket)
				.subscribe((durable) -> this.context.runOnContext((run) -> abandon()));
			return;
		}
		// The response is sent after its record is stored, so that every VM can replay it
		// for the same key. The timeout bounds the delay while the platform is
		// unreachable.
		attempt(service, call, false,
				(result) -> record(ticket, result)
					.timeout(RECORD_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS, Single.just(false))
					.subscribe((durable) -> this.context.runOnContext((run) -> finish(result))));
	}

	void replay(RecordedResponse recorded) {
		if (!recorded.bodyKept()) {
			refuse(new Refusal(Verdict.RAN, RefusalReason.KEY_ANSWER_DROPPED, "The call with this key ran with status "
					+ recorded.httpStatus() + "; its answer is no longer kept", OptionalLong.empty()));
			return;
		}
		this.response.putHeader("Idempotent-Replayed", "true");
		sendResponse(new ServiceResponse(recorded.httpStatus(), recorded.contentType(),
				recorded.body().getBytes(StandardCharsets.UTF_8)));
	}

	void refuse(Refusal refusal) {
		if (!tryEnd()) {
			return;
		}
		ProblemJson.send(this.response, refusal, this.scope.requestId()).onComplete((written) -> this.completion.run());
		this.services.metrics().recordRequestRefused(KIND, refusal.reason(), refusal.verdict());
		recordAvailability(refusal.reason().isClientError() ? 0 : Long.MAX_VALUE);
		RequestLog.logRefused(this.scope, KIND, this.upstream, refusal, elapsedMillis());
	}

	private void attempt(Service service, ServiceCall call, boolean repeatable, ResultHandler resultHandler) {
		Optional<Service.Replica> replica = chooseReplica(service);
		if (replica.isEmpty()) {
			resultHandler
				.accept(Either.left(new ServiceFailure(this.verdict, false, "no upstream of the service answers")));
			return;
		}
		this.upstream = replica.get().name();
		this.triedUpstreams.add(this.upstream);
		InFlight inFlight = this.services.loads().acquire(this.upstream);
		this.services.serviceClient()
			.call(replica.get().address(), call)
			.subscribe((result) -> this.context.runOnContext((run) -> {
				inFlight.close();
				onResult(service, call, repeatable, resultHandler, result);
			}));
	}

	private void onResult(Service service, ServiceCall call, boolean repeatable, ResultHandler resultHandler,
			Either<ServiceFailure, ServiceResponse> result) {
		if (result.isRight()) {
			this.services.monitor().recordSuccess(Set.of(this.upstream));
			resultHandler.accept(result);
			return;
		}
		this.verdict = this.verdict.combine(result.getLeft().verdict());
		reportFailure(result.getLeft());
		boolean canRetry = repeatable || this.verdict == Verdict.NOT_RUN;
		if (canRetry && this.triedUpstreams.size() < MAX_ATTEMPTS && chooseReplica(service).isPresent()) {
			attempt(service, call, repeatable, resultHandler);
			return;
		}
		resultHandler.accept(Either.left(new ServiceFailure(this.verdict, false, result.getLeft().detail())));
	}

	private void reportFailure(ServiceFailure failure) {
		if (failure.leaving()) {
			this.services.leavingListener().accept(this.upstream);
			return;
		}
		this.services.recordUpstreamFailure(this.upstream);
	}

	private Optional<Service.Replica> chooseReplica(Service service) {
		return this.services.chooseReplica(service, this.triedUpstreams);
	}

	private Single<Boolean> record(ClaimTicket ticket, Either<ServiceFailure, ServiceResponse> result) {
		if (result.isRight()) {
			return this.services.claims().recordResponse(ticket, toRecord(result.get()));
		}
		return (this.verdict == Verdict.NOT_RUN) ? this.services.claims().recordNotRun(ticket)
				: this.services.claims().recordUnknown(ticket);
	}

	private static RecordedResponse toRecord(ServiceResponse response) {
		boolean bodyKept = response.body().length <= MAX_RECORDED_BODY_BYTES;
		String body = bodyKept ? new String(response.body(), StandardCharsets.UTF_8) : "";
		return new RecordedResponse(response.httpStatus(), response.contentType(), body, bodyKept);
	}

	private void finish(Either<ServiceFailure, ServiceResponse> result) {
		if (result.isLeft()) {
			fail(result.getLeft());
			return;
		}
		sendResponse(result.get());
	}

	private void fail(ServiceFailure failure) {
		if (failure.verdict() == Verdict.NOT_RUN) {
			refuse(Refusal.notRunRetryAfter(RefusalReason.NO_ROUTE, "The service can't be reached: " + failure.detail(),
					RETRY_AFTER_MILLIS));
			return;
		}
		refuse(Refusal.mayHaveRun(RefusalReason.UPSTREAM_FAILED,
				"The call was sent and its answer is missing: " + failure.detail()));
	}

	private void sendResponse(ServiceResponse upstreamResponse) {
		if (!tryEnd()) {
			return;
		}
		writeResponse(upstreamResponse).onComplete((written) -> this.completion.run());
		this.services.metrics().recordRequestAnswered(KIND);
		this.services.metrics().recordServiceCall(System.nanoTime() - this.scope.startNanos());
		recordAvailability(0);
		RequestLog.logAnswered(this.scope, KIND, this.upstream, elapsedMillis());
	}

	private Future<Void> writeResponse(ServiceResponse upstreamResponse) {
		if (this.response.closed()) {
			return Future.succeededFuture();
		}
		return this.response.setStatusCode(upstreamResponse.httpStatus())
			.putHeader("Content-Type", upstreamResponse.contentType())
			.end(Buffer.buffer(upstreamResponse.body()));
	}

	private void abandon() {
		if (!tryEnd()) {
			return;
		}
		this.completion.run();
		this.services.metrics().recordRequestAbandoned(KIND);
		RequestLog.logAbandoned(this.scope, KIND, this.upstream, elapsedMillis());
	}

	private boolean tryEnd() {
		if (this.ended) {
			return false;
		}
		this.ended = true;
		return true;
	}

	private void recordAvailability(long elapsedNanos) {
		this.services.metrics()
			.recordObjectiveEvent(this.scope.bundle().objectives(), Objective.Kind.AVAILABILITY, organisation(),
					elapsedNanos);
	}

	private long elapsedMillis() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.scope.startNanos());
	}

	/** Consumer of the result of the last attempt. */
	@FunctionalInterface
	private interface ResultHandler {

		void accept(Either<ServiceFailure, ServiceResponse> result);

	}

}
