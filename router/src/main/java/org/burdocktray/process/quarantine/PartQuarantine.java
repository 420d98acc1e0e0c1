package org.burdocktray.process.quarantine;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Decides whether the parts of a request's prompt allow it to run. Invariant: a request
 * is refused only for confirmed crashes that no part outside of it explains. Thread
 * safety: none.
 */
final class PartQuarantine {

	/** The number of crashes after which a part runs once at a time on this VM. */
	private static final int CRASHES_TO_RUN_ALONE = 2;

	private static final long WAIT_NANOS = TimeUnit.SECONDS.toNanos(1);

	private static final long MAX_SEARCH_AGE_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final SuspectTable suspects;

	private final RunTable runs;

	private final BegunParts begunParts = new BegunParts();

	/** The result for confirmed crashes, empty after a change of the suspects. */
	private Optional<CulpritSearch> confirmed = Optional.empty();

	/** The result for confirmed and provisional crashes. */
	private Optional<CulpritSearch> counted = Optional.empty();

	private long searchedNanos;

	PartQuarantine(SuspectTable suspects, RunTable runs) {
		this.suspects = suspects;
		this.runs = runs;
	}

	/** Must be called when evidence has changed. */
	void onEvidenceChange() {
		this.confirmed = Optional.empty();
		this.counted = Optional.empty();
	}

	/**
	 * Records that an answer has begun well.
	 * @param part a part of its prompt
	 * @param nowNanos the time
	 */
	void recordBegunWell(Fingerprint part, long nowNanos) {
		this.begunParts.record(part, nowNanos);
	}

	boolean hasBegunWell(Fingerprint part, long nowNanos) {
		return this.begunParts.contains(part, nowNanos);
	}

	/**
	 * Returns whether a quarantined part explains a crash.
	 * @param crash the crash
	 * @param nowNanos the time
	 * @return true if no other request needs to be held responsible
	 */
	boolean explains(CrashEvidence crash, long nowNanos) {
		return confirmed(nowNanos).explains(crash);
	}

	/**
	 * Decides whether a request may run.
	 * @param request the request
	 * @param nowNanos the time
	 * @return the decision
	 */
	QuarantineDecision check(RequestIdentity request, long nowNanos) {
		Collection<Fingerprint> parts = request.parts();
		if (confirmed(nowNanos).isBlamed(parts)) {
			return new QuarantineDecision.Refuse(expiresAtNanos(parts, nowNanos),
					QuarantineDecision.Culprit.PROMPT_PART);
		}
		if (counted(nowNanos).isBlamed(parts) || isRunningWithDoubtfulPart(parts, nowNanos)) {
			return new QuarantineDecision.Wait(nowNanos + WAIT_NANOS);
		}
		return new QuarantineDecision.Run();
	}

	private boolean isRunningWithDoubtfulPart(Collection<Fingerprint> parts, long nowNanos) {
		Collection<Fingerprint> doubtful = parts.stream().filter((part) -> isDoubtful(part, nowNanos)).toList();
		return !doubtful.isEmpty() && this.runs.isInProgress((running) -> running.containsAnyOf(doubtful));
	}

	private boolean isDoubtful(Fingerprint part, long nowNanos) {
		return !hasBegunWell(part, nowNanos) && this.suspects.findCurrent(part, nowNanos)
			.filter((suspect) -> suspect.countedCrashes().size() >= CRASHES_TO_RUN_ALONE)
			.isPresent();
	}

	private long expiresAtNanos(Collection<Fingerprint> parts, long nowNanos) {
		Stream<Long> remainingNanos = parts.stream()
			.filter(confirmed(nowNanos)::isCandidate)
			.flatMap((part) -> this.suspects.find(part).stream())
			.map((suspect) -> suspect.expiresAtNanos() - nowNanos);
		return nowNanos + remainingNanos.max(Comparator.naturalOrder()).orElse(0L);
	}

	private CulpritSearch confirmed(long nowNanos) {
		forgetOldSearches(nowNanos);
		if (this.confirmed.isEmpty()) {
			this.confirmed = Optional.of(new CulpritSearch(this.suspects, CrashEvidence::isConfirmed, nowNanos));
		}
		return this.confirmed.get();
	}

	private CulpritSearch counted(long nowNanos) {
		forgetOldSearches(nowNanos);
		if (this.counted.isEmpty()) {
			this.counted = Optional.of(new CulpritSearch(this.suspects, (crash) -> !crash.isDismissed(), nowNanos));
		}
		return this.counted.get();
	}

	// Entries expire without a change of the evidence.
	private void forgetOldSearches(long nowNanos) {
		if (nowNanos - this.searchedNanos > MAX_SEARCH_AGE_NANOS) {
			this.searchedNanos = nowNanos;
			onEvidenceChange();
		}
	}

}
