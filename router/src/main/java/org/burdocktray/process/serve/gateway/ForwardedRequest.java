package org.burdocktray.process.serve.gateway;

import java.util.Optional;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import org.burdocktray.request.overload.EnginePriority;

/**
 * The request that an attempt sends. Thread safety: immutable, except for the headers,
 * which must not be changed.
 *
 * @param requestId the id that the caller gave the request
 * @param method the HTTP method
 * @param uri the path and query
 * @param headers the caller's headers
 * @param body the caller's body
 * @param organisation the name of the caller's organisation, empty on public routes
 * @param repeatable whether the request may run more than once
 * @param streaming whether a successful response is a stream of events
 * @param lastEventId the id of the event after which a resumed stream continues
 * @param deadlineNanos the monotonic time at which the caller or the route stops waiting
 * @param relay what a VM has to know that relays the request
 * @param priority the priority at the engines, empty for services to which the option
 * overload does not apply
 */
record ForwardedRequest(Optional<String> requestId, HttpMethod method, String uri, MultiMap headers, Buffer body,
		Optional<String> organisation, boolean repeatable, boolean streaming, Optional<String> lastEventId,
		long deadlineNanos, RelayHeaders.RelayedRequest relay, Optional<EnginePriority> priority) {

	private static final long NANOS_PER_MILLI = 1_000_000;

	long remainingMillis() {
		return (this.deadlineNanos - System.nanoTime()) / NANOS_PER_MILLI;
	}

	/**
	 * Returns the request as its next attempt sends it.
	 * @param eventId the id of the event after which a stream continues
	 * @param runs how often the request may have run already
	 * @return the request
	 */
	ForwardedRequest resumingAfter(Optional<String> eventId, int runs) {
		return new ForwardedRequest(this.requestId, this.method, this.uri, this.headers, this.body, this.organisation,
				this.repeatable, this.streaming, eventId, this.deadlineNanos, this.relay.withRuns(runs), this.priority);
	}

}
