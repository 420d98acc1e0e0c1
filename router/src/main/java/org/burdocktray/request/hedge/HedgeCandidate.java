package org.burdocktray.request.hedge;

import java.util.Optional;

/**
 * A request without its first event at the time at which its second run would start.
 * Thread safety: immutable.
 *
 * @param service the name of its service
 * @param organisation the name of its organisation, empty on public routes
 * @param repeatable whether its route allows it to run twice
 * @param responseStarted whether the caller has received a part of the response
 * @param hedgedBefore whether it has had a hedged run
 * @param canRunAgain whether its attempts allow a second run beside the present one
 * @param suspected whether it may have crashed a replica
 * @param reachable whether this VM itself sends it to replicas, and is not cut off
 */
public record HedgeCandidate(String service, String organisation, boolean repeatable, boolean responseStarted,
		boolean hedgedBefore, boolean canRunAgain, boolean suspected, boolean reachable) {

	Optional<HedgeObstacle> findObstacle() {
		if (!this.repeatable || this.responseStarted || this.hedgedBefore) {
			return Optional.of(HedgeObstacle.NOT_ELIGIBLE);
		}
		if (this.suspected) {
			return Optional.of(HedgeObstacle.SUSPECTED);
		}
		if (!this.canRunAgain) {
			return Optional.of(HedgeObstacle.ATTEMPTS_SPENT);
		}
		return this.reachable ? Optional.empty() : Optional.of(HedgeObstacle.REACH);
	}

}
