package org.burdocktray.soak;

import java.net.http.HttpResponse;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.burdocktray.standins.gateway.WireHeaders;

/**
 * One call and how it ended. Thread safety: immutable.
 *
 * @param id its id
 * @param kind its route
 * @param key the caller's key
 * @param sentNanos when it was sent
 * @param endedNanos when it ended
 * @param status the status, 0 when its connection ended without a whole answer
 * @param body the body, empty without a whole answer
 * @param signature who signed the answer, empty for none
 */
record Call(String id, Kind kind, String key, long sentNanos, long endedNanos, int status, String body,
		String signature) {

	Call withResponse(HttpResponse<String> answer) {
		return new Call(this.id, this.kind, this.key, this.sentNanos, this.endedNanos, answer.statusCode(),
				answer.body(), answer.headers().firstValue(WireHeaders.SIGNATURE).orElse(""));
	}

	/** Whether the answer says that the request has not run. */
	boolean isRefused() {
		return this.status == 503 || this.status == 429 || this.status == 408 || this.status == 421;
	}

	/** Whether a whole answer is the one to this request. */
	boolean hasExpectedResponse() {
		if (this.kind == Kind.DRAFT) {
			return this.body.equals(expectedEvents(this.id));
		}
		return this.body.equals("ran at " + this.signature.replace("signed-by-", "") + " for acme");
	}

	private static String expectedEvents(String id) {
		return IntStream.rangeClosed(1, SoakPlatform.EVENTS_PER_STREAM)
			.mapToObj((event) -> "id: " + event + "\ndata: " + id + "-" + event + "\n\n")
			.collect(Collectors.joining());
	}

	/**
	 * The routes.
	 */
	enum Kind {

		/** A stream of a model. */
		DRAFT("POST", "/draft/", 8_000),

		/** A call that must not run twice. */
		BOOK("POST", "/book/", 2_000),

		/** A call that may run again. */
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
