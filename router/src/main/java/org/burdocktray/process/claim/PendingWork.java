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
 * The pending claims and outcomes of a shard. Thread safety: confined to
 * its shard.
 */
final class PendingWork {

	private static final int MAX_RECORDS = 10_000;

	private final Map<String, PendingClaim> claims = new LinkedHashMap<>();

	private final Map<Long, PendingRecord> records = new LinkedHashMap<>();

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
	List<PendingRecord> add(PendingRecord outcome) {
		this.records.put(this.nextSequence++, outcome);
		if (this.records.size() <= MAX_RECORDS) {
			return List.of();
		}
		return List.of(this.records.remove(this.records.keySet().iterator().next()));
	}

	Collection<PendingClaim> claims() {
		return this.claims.values();
	}

	/**
	 * Returns the outcomes by their sequence numbers, oldest first.
	 * @return a read-only view
	 */
	Map<Long, PendingRecord> records() {
		return Collections.unmodifiableMap(this.records);
	}

	boolean isEmpty() {
		return this.claims.isEmpty() && this.records.isEmpty();
	}

	boolean hasClaims() {
		return !this.claims.isEmpty();
	}

	/**
	 * Removes a claim.
	 * @param claimId the claim id
	 * @return the claim; empty if it is no longer pending
	 */
	Optional<PendingClaim> takeClaim(String claimId) {
		return Optional.ofNullable(this.claims.remove(claimId));
	}

	Optional<PendingRecord> takeRecord(long sequence) {
		return Optional.ofNullable(this.records.remove(sequence));
	}

	boolean hasArrivalsAfter(long nanos) {
		return this.claims.values().stream().anyMatch((claim) -> claim.arrivedNanos() > nanos)
				|| this.records.values().stream().anyMatch((outcome) -> outcome.arrivedNanos() > nanos);
	}

	List<PendingClaim> takeAllClaims() {
		List<PendingClaim> removed = List.copyOf(this.claims.values());
		this.claims.clear();
		return removed;
	}

	List<PendingClaim> takeExpiredClaims(long nowNanos) {
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
	List<Long> expireRecordWaiters(long nowNanos) {
		List<Long> expired = new ArrayList<>();
		this.records.replaceAll((sequence, outcome) -> {
			if (outcome.recordId().isEmpty() || outcome.deadlineNanos() > nowNanos) {
				return outcome;
			}
			expired.add(outcome.recordId().getAsLong());
			return outcome.withoutWaiter();
		});
		return expired;
	}

	OptionalLong nextDeadlineNanos() {
		LongStream claimDeadlines = this.claims.values().stream().mapToLong(PendingClaim::deadlineNanos);
		LongStream outcomeDeadlines = this.records.values()
			.stream()
			.filter((outcome) -> outcome.recordId().isPresent())
			.mapToLong(PendingRecord::deadlineNanos);
		return LongStream.concat(claimDeadlines, outcomeDeadlines).min();
	}

	OptionalLong nextTurnNanos(WritePacer throttle, long nowNanos) {
		if (hasClaims()) {
			return OptionalLong.of(throttle.nextClaimTurnNanos(nowNanos));
		}
		return this.records.values().stream().mapToLong((outcome) -> throttle.nextRecordTurnNanos(outcome, nowNanos)).min();
	}

}
