package org.burdocktray.process.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * One crash of an upstream during one run of a request, or a silence that may be one.
 * Thread safety: immutable.
 *
 * @param runId the id of the run, unique across all VMs
 * @param upstream the upstream that crashed
 * @param crashedAtNanos the time of the crash by this VM's clock
 * @param sharedBy the number of requests that the reporting VM was running on the
 * upstream
 * @param state what is known of the crash
 * @param run what is known of the run
 */
record CrashEvidence(String runId, String upstream, long crashedAtNanos, int sharedBy, EvidenceState state,
		CrashedRun run) {

	// VMs detect the same crash at different times, and by a timeout if the host has
	// failed.
	private static final long SAME_CRASH_NANOS = TimeUnit.SECONDS.toNanos(10);

	CrashEvidence(String runId, String upstream, long crashedAtNanos, int sharedBy, EvidenceState state) {
		this(runId, upstream, crashedAtNanos, sharedBy, state, CrashedRun.UNKNOWN);
	}

	/**
	 * Selects crashes that are independent of each other.
	 * @param crashes the crashes
	 * @return the first of each group of crashes that depend on each other
	 */
	static List<CrashEvidence> independent(Collection<CrashEvidence> crashes) {
		List<CrashEvidence> counted = new ArrayList<>();
		for (CrashEvidence crash : crashes) {
			if (counted.stream().allMatch(crash::isIndependentOf)) {
				counted.add(crash);
			}
		}
		return counted;
	}

	boolean isSameCrash(CrashEvidence other) {
		return this.upstream.equals(other.upstream)
				&& Math.abs(this.crashedAtNanos - other.crashedAtNanos) < SAME_CRASH_NANOS;
	}

	boolean isIndependentOf(CrashEvidence other) {
		return !isSameCrash(other) && !this.runId.equals(other.runId);
	}

	/**
	 * Returns whether the run began after another crash.
	 * @param other the other crash
	 * @return false if the run was in progress then
	 */
	boolean beganAfter(CrashEvidence other) {
		return this.crashedAtNanos - this.run.ageNanos() - other.crashedAtNanos > 0;
	}

	boolean isProvisional() {
		return this.state == EvidenceState.PROVISIONAL;
	}

	boolean isConfirmed() {
		return this.state == EvidenceState.CONFIRMED;
	}

	boolean isDismissed() {
		return this.state == EvidenceState.DISMISSED;
	}

	/**
	 * Returns whether the VM that found the silence should have decided by now what it
	 * was. That VM has ended, or is cut off.
	 * @param nowNanos the time
	 * @return true for provisional evidence of some age
	 */
	boolean isOverdue(long nowNanos) {
		return isProvisional()
				&& nowNanos - this.crashedAtNanos >= TimeUnit.MILLISECONDS.toNanos(Quarantine.UNDECIDED_MILLIS);
	}

	double suspicion() {
		return 1.0 / Math.max(1, this.sharedBy);
	}

	/**
	 * Returns this evidence with the prevailing one of two states.
	 * @param other the other state
	 * @return this object if its state prevails
	 */
	CrashEvidence merge(EvidenceState other) {
		return (other.compareTo(this.state) > 0)
				? new CrashEvidence(this.runId, this.upstream, this.crashedAtNanos, this.sharedBy, other, this.run)
				: this;
	}

	String id() {
		return this.runId + '@' + this.upstream;
	}

}
