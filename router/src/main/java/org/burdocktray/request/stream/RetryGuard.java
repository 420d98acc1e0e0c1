package org.burdocktray.request.stream;

import java.util.Optional;
import java.util.Set;

import org.burdocktray.model.RefusalReason;

/**
 * Says whether a stream may have one more attempt. Thread safety: called by one session
 * at a time.
 */
@FunctionalInterface
public interface RetryGuard {

	/**
	 * Asks for one more attempt.
	 * @param newUpstreams the names of the upstreams that the attempt would add to those
	 * it keeps
	 * @param afterProgress whether the attempt before it brought the caller a token;
	 * going on with such an answer saves the work that was done for it
	 * @return why there must be none; empty when it may start
	 */
	Optional<RefusalReason> checkRetry(Set<String> newUpstreams, boolean afterProgress);

	/**
	 * Notes that an upstream failed while it ran the stream. It is called before the
	 * question whether another attempt may start.
	 * @param upstreamName the name of the upstream
	 * @param crashed whether a connection to it broke while it ran the stream
	 */
	default void onUpstreamFailed(String upstreamName, boolean crashed) {
	}

	/**
	 * A guard that allows every attempt.
	 * @return the guard
	 */
	static RetryGuard allowAll() {
		return (newUpstreams, afterProgress) -> Optional.empty();
	}

}
