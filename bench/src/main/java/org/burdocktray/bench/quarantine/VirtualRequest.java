package org.burdocktray.bench.quarantine;

import java.util.List;
import java.util.Optional;

import org.burdocktray.process.quarantine.Fingerprint;
import org.burdocktray.process.quarantine.RequestIdentity;

/**
 * A request of a caller, with all its runs. Thread safety: none.
 */
final class VirtualRequest {

	private final Fingerprint fingerprint;

	private final RequestIdentity identity;

	private final boolean crashing;

	private final Optional<CrashingPart> crashingPart;

	private int remainingResends;

	private int lostUpstreams;

	private boolean affectedByCrash;

	private boolean refused;

	VirtualRequest(int number, boolean crashing, int resends) {
		this(number, crashing, resends, List.of(), Optional.empty());
	}

	VirtualRequest(int number, boolean crashing, int resends, List<String> promptParts,
			Optional<CrashingPart> crashingPart) {
		this.crashingPart = crashingPart;
		this.fingerprint = new Fingerprint("organisation-" + number % 10, String.format("%016x%048x", number, 0));
		this.identity = RequestIdentity.of(this.fingerprint, promptParts);
		this.crashing = crashing;
		this.remainingResends = resends;
	}

	Fingerprint fingerprint() {
		return this.fingerprint;
	}

	RequestIdentity identity() {
		return this.identity;
	}

	boolean isCrashing() {
		return this.crashing || this.crashingPart.isPresent();
	}

	/**
	 * Uses one of the remaining resends.
	 * @return whether one was left
	 */
	boolean consumeResend() {
		return this.remainingResends-- > 0;
	}

	int lostUpstreams() {
		return this.lostUpstreams;
	}

	void recordLostUpstream(long nowNanos) {
		this.lostUpstreams++;
		this.crashingPart.ifPresent((part) -> part.recordCrash(nowNanos));
	}

	void recordRun(long nowNanos) {
		this.crashingPart.ifPresent((part) -> part.recordRun(nowNanos));
	}

	boolean wasAffectedByCrash() {
		return this.affectedByCrash;
	}

	void recordCrash() {
		this.affectedByCrash = true;
	}

	boolean wasRefused() {
		return this.refused;
	}

	void recordRefusal() {
		this.refused = true;
	}

}
