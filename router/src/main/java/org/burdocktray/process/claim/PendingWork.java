package org.burdocktray.process.claim;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.LongStream;

/**
 * The pending claims and outcomes of a shard. Thread safety: confined to its shard.
 */
final class PendingWork {

	private static final int MAX_OUTCOMES = 10_000;

	private final Map<String, PendingClaim> claims = new LinkedHashMap<>();

	private final Map<Long, PendingOutcome> outcomes = new LinkedHashMap<>();

	private long nextSequence;

	void add(PendingClaim claim) {
		this.claims.put(claim.proposal().claimId(), claim);
	}

	/**
	 * Adds an outcome. If there are too many, drops the oldest one; its key stays claimed
	 * and its outcome is later reported as unknown.
	 * @param outcome the outcome
	 * @return the dropped outcomes
	 */
	List<PendingOutcome> add(PendingOutcome outcome) {
		this.outcomes.put(this.nextSequence++, outcome);
		if (this.outcomes.size() <= MAX_OUTCOMES) {
			return List.of();
		}
		return List.of(this.outcomes.remove(this.outcomes.keySet().iterator().next()));
	}

	Collection<PendingClaim> claims() {
		return this.claims.values();
	}

	/**
	 * Returns the outcomes by their sequence numbers, oldest first.
	 * @return a read-only view
	 */
	Map<Long, PendingOutcome> outcomes() {
		return Collections.unmodifiableMap(this.outcomes);
	}

	boolean isEmpty() {
		return this.claims.isEmpty() && this.outcomes.isEmpty();
	}

	boolean hasClaims() {
		return !this.claims.isEmpty();
	}

	/**
	 * Removes a claim.
	 * @param claimId the claim id
	 * @return the claim; empty if it is no longer pending
	 */
	Optional<PendingClaim> removeClaim(String claimId) {
		return Optional.ofNullable(this.claims.remove(claimId));
	}

	Optional<PendingOutcome> removeOutcome(long sequence) {
		return Optional.ofNullable(this.outcomes.remove(sequence));
	}

	boolean hasArrivalsAfter(long nanos) {
		return this.claims.values().stream().anyMatch((claim) -> claim.arrivedNanos() > nanos)
				|| this.outcomes.values().stream().anyMatch((outcome) -> outcome.arrivedNanos() > nanos);
	}

	List<PendingClaim> removeAllClaims() {
		List<PendingClaim> removed = List.copyOf(this.claims.values());
		this.claims.clear();
		return removed;
	}

	List<PendingClaim> removeExpiredClaims(long nowNanos) {
		List<PendingClaim> expired = this.claims.values()
			.stream()
			.filter((claim) -> claim.deadlineNanos() <= nowNanos)
			.toList();
		expired.forEach((claim) -> this.claims.remove(claim.proposal().claimId()));
		return expired;
	}

	/**
	 * Removes the waiters whose deadline has passed. Their outcomes stay pending.
	 * @param nowNanos the current monotonic time
	 * @return the ids of the removed waiters
	 */
	List<Long> expireOutcomeWaiters(long nowNanos) {
		List<Long> expired = new ArrayList<>();
		this.outcomes.replaceAll((sequence, outcome) -> {
			if (outcome.waiterId().isEmpty() || outcome.deadlineNanos() > nowNanos) {
				return outcome;
			}
			expired.add(outcome.waiterId().getAsLong());
			return outcome.withoutWaiter();
		});
		return expired;
	}

	OptionalLong nextDeadlineNanos() {
		LongStream claimDeadlines = this.claims.values().stream().mapToLong(PendingClaim::deadlineNanos);
		LongStream outcomeDeadlines = this.outcomes.values()
			.stream()
			.filter((outcome) -> outcome.waiterId().isPresent())
			.mapToLong(PendingOutcome::deadlineNanos);
		return LongStream.concat(claimDeadlines, outcomeDeadlines).min();
	}

	OptionalLong nextCycleNanos(WriteThrottle throttle, long nowNanos) {
		if (hasClaims()) {
			return OptionalLong.of(throttle.nextClaimCycleNanos(nowNanos));
		}
		return this.outcomes.values()
			.stream()
			.mapToLong((outcome) -> throttle.nextOutcomeCycleNanos(outcome, nowNanos))
			.min();
	}

}
