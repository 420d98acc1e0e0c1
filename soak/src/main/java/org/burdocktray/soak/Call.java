package org.burdocktray.soak;

import java.net.ConnectException;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpResponse;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.burdocktray.standins.gateway.PlainReplicaStandIn;
import org.burdocktray.standins.gateway.WireHeaders;

/**
 * A call and its outcome. Thread safety: immutable.
 *
 * @param id the id of the request
 * @param kind the kind of the call, which determines its route
 * @param key the caller's API key
 * @param sentNanos the time at which it was sent, from {@link System#nanoTime()}
 * @param endedNanos the time at which it ended, from {@link System#nanoTime()}
 * @param status the HTTP status code, 0 when the call ended without a complete response,
 * {@link #NOT_TAKEN} when no connection could be opened
 * @param body the body of the response, empty without a complete response
 * @param signature the signature of the response, empty for none; several are separated
 * by commas
 * @param answeredId the id of the request that the response names, empty for none;
 * several are separated by commas
 */
record Call(String id, Kind kind, String key, long sentNanos, long endedNanos, int status, String body,
		String signature, String answeredId) {

	static final int NOT_TAKEN = -1;

	private static final int NO_RESPONSE = 0;

	Call withResponse(HttpResponse<String> response) {
		return new Call(this.id, this.kind, this.key, this.sentNanos, this.endedNanos, response.statusCode(),
				response.body(), joinValues(response, WireHeaders.SIGNATURE),
				joinValues(response, WireHeaders.REQUEST_ID));
	}

	// More than one value is never that of a run.
	private static String joinValues(HttpResponse<String> response, String header) {
		return String.join(", ", response.headers().allValues(header));
	}

	Call withFailure(Throwable failure) {
		Throwable cause = (failure instanceof CompletionException) ? failure.getCause() : failure;
		boolean isTaken = !(cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException);
		return new Call(this.id, this.kind, this.key, this.sentNanos, this.endedNanos,
				isTaken ? NO_RESPONSE : NOT_TAKEN, "", "", "");
	}

	/**
	 * Returns whether the call ended before its deadline with no whole answer and no
	 * refusal, although a gateway had taken it.
	 * @return true if an answer is missing
	 */
	boolean isLost() {
		long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(this.endedNanos - this.sentNanos);
		boolean isTimedOut = this.kind == Kind.DRAFT && elapsedMillis >= this.kind.deadlineMillis();
		return this.status == NO_RESPONSE && !isTimedOut;
	}

	/** Returns whether the response says that the request has not run. */
	boolean isRefused() {
		return this.status == 503 || this.status == 429 || this.status == 408 || this.status == 421;
	}

	/** Returns whether the response says that the request succeeded. */
	boolean isSuccess() {
		return this.status / 100 == 2;
	}

	/**
	 * Returns what is wrong with a response that claims to be a replica's: a success, and
	 * a failure of a plain replica with a signature. It must be the answer of one run of
	 * this request. Runs of engines are not known, so that their failures are not
	 * checked.
	 * @param answers the answers of the runs at plain replicas, by signature
	 * @return what is wrong, empty for a response that is right or no replica's
	 */
	Optional<String> findForeignPart(Map<String, PlainReplicaStandIn.Answer> answers) {
		boolean isAnswer = isSuccess() || (this.kind != Kind.DRAFT && !this.signature.isEmpty());
		if (!isAnswer) {
			return Optional.empty();
		}
		if (!this.answeredId.equals(this.id)) {
			return Optional.of("got an answer to another request: " + this.answeredId);
		}
		if (this.kind == Kind.DRAFT) {
			return Optional.of("got an unexpected response: " + this.body)
				.filter((message) -> !this.body.equals(expectedEvents(this.id)));
		}
		PlainReplicaStandIn.Answer run = answers.get(this.signature);
		if (run == null) {
			return Optional.of("got status " + this.status + " with a signature of no run: " + this.signature);
		}
		return findDifference(run);
	}

	private Optional<String> findDifference(PlainReplicaStandIn.Answer run) {
		if (!run.requestId().equals(this.id)) {
			return Optional.of("got the signature of a run of another request: " + run.requestId());
		}
		if (run.status() != this.status) {
			return Optional.of("got status " + this.status + " where the replica answered " + run.status());
		}
		boolean isExpected = run.body().equals(this.body) && this.body.endsWith(" for " + SoakPlatform.TENANT);
		return isExpected ? Optional.empty() : Optional.of("got an unexpected response: " + this.body);
	}

	private static String expectedEvents(String id) {
		return IntStream.rangeClosed(1, SoakPlatform.EVENTS_PER_STREAM)
			.mapToObj((event) -> "id: " + event + "\ndata: " + id + "-" + event + "\n\n")
			.collect(Collectors.joining());
	}

	/**
	 * The kinds of calls, each with a route of its own.
	 */
	enum Kind {

		/** A streaming request to a model. */
		DRAFT("POST", "/draft/", 8_000),

		/** A non-idempotent call, which must not run twice. */
		BOOK("POST", "/book/", 2_000),

		/** An idempotent call, which may run again. */
		CHECK("GET", "/check/", 2_000);

		private final String method;

		private final String path;

		private final long deadlineMillis;

		Kind(String method, String path, long deadlineMillis) {
			this.method = method;
			this.path = path;
			this.deadlineMillis = deadlineMillis;
		}

		String method() {
			return this.method;
		}

		String path() {
			return this.path;
		}

		long deadlineMillis() {
			return this.deadlineMillis;
		}

	}

}
