package org.burdocktray.bench.quarantine;

import org.burdocktray.process.quarantine.Fingerprint;

/**
 * A request of a caller, with all its runs. Thread safety: none.
 */
final class VirtualRequest {

	private final Fingerprint fingerprint;

	private final boolean crashing;

	private int remainingResends;

	private int lostUpstreams;

	private boolean affectedByCrash;

	private boolean refused;

	VirtualRequest(int number, boolean crashing, int resends) {
		this.fingerprint = new Fingerprint("organisation-" + number % 10, String.format("%064x", number));
		this.crashing = crashing;
		this.remainingResends = resends;
	}

	Fingerprint fingerprint() {
		return this.fingerprint;
	}

	boolean isCrashing() {
		return this.crashing;
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

	void recordLostUpstream() {
		this.lostUpstreams++;
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
