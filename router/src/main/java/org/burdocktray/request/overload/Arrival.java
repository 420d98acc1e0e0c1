package org.burdocktray.request.overload;

import java.util.Optional;

import org.burdocktray.version.rules.RouteRule;
import org.burdocktray.version.rules.ServiceRule;

/**
 * What decides about the admission of a request. Thread safety: immutable.
 *
 * @param requestId the id that the caller gave the request
 * @param route its route
 * @param service the service that runs it
 * @param organisation the name of the caller's organisation, empty on public routes
 * @param priority its priority, the lowest value is served first
 * @param isInterrupted whether it continues a stream that has begun
 * @param promptTokens the length of its prompt, 0 if unknown
 * @param outputTokens the expected length of its response, 0 if unknown
 * @param callerTimeoutMillis how long its caller waits from its arrival on
 */
public record Arrival(Optional<String> requestId, RouteRule route, ServiceRule service, String organisation,
		int priority, boolean isInterrupted, int promptTokens, int outputTokens, long callerTimeoutMillis) {

}
