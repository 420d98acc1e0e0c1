package org.burdocktray.request.stream;

import java.util.Optional;
import java.util.Set;

import org.burdocktray.model.RefusalReason;

/**
 * Decides whether a stream may start another attempt. Thread safety: called by one
 * session at a time.
 */
@FunctionalInterface
public interface RetryGuard {

	/**
	 * Checks whether another attempt may start. Implementations with a retry budget
	 * charge the attempt to it.
	 * @param newUpstreams the names of the upstreams that the attempt would add to those
	 * it keeps
	 * @param afterProgress whether the previous attempt delivered a token to the caller;
	 * continuing such a response saves the work that was done for it
	 * @return why the attempt must not start; empty if it may start
	 */
	Optional<RefusalReason> checkRetry(Set<String> newUpstreams, boolean afterProgress);

	/**
	 * Called when an upstream failed while it ran the stream, before {@link #checkRetry}
	 * for the next attempt.
	 * @param upstreamName the name of the upstream
	 * @param crashed whether a connection to it broke while it ran the stream
	 */
	default void onUpstreamFailed(String upstreamName, boolean crashed) {
	}

	/**
	 * Creates a guard that allows every attempt.
	 * @return the guard
	 */
	static RetryGuard allowAll() {
		return (newUpstreams, afterProgress) -> Optional.empty();
	}

}
