package org.burdocktray.process.quarantine;

import java.util.concurrent.TimeUnit;

/**
 * One crash of an upstream during one run of a request. Thread safety: immutable.
 *
 * @param runId the id of the run, unique across all VMs
 * @param upstream the upstream that crashed
 * @param crashedAtNanos the time of the crash by this VM's clock
 * @param sharedBy the number of requests that the reporting VM was running on the
 * upstream
 * @param dismissed whether the request has been cleared of this crash
 */
record CrashEvidence(String runId, String upstream, long crashedAtNanos, int sharedBy, boolean dismissed) {

	// VMs detect the same crash at different times, and by a timeout if the host has
	// failed.
	private static final long SAME_CRASH_NANOS = TimeUnit.SECONDS.toNanos(10);

	boolean isSameCrash(CrashEvidence other) {
		return this.upstream.equals(other.upstream)
				&& Math.abs(this.crashedAtNanos - other.crashedAtNanos) < SAME_CRASH_NANOS;
	}

	boolean isIndependentOf(CrashEvidence other) {
		return !isSameCrash(other) && !this.runId.equals(other.runId);
	}

	double suspicion() {
		return 1.0 / Math.max(1, this.sharedBy);
	}

	CrashEvidence dismiss() {
		return new CrashEvidence(this.runId, this.upstream, this.crashedAtNanos, this.sharedBy, true);
	}

	String id() {
		return this.runId + '@' + this.upstream;
	}

}
