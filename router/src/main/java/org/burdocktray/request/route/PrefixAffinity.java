package org.burdocktray.request.route;

/**
 * Turns a prefix's fingerprint into a sequence of uniform values, so that requests with
 * the same prefix make the same choices. Thread safety: none, used for one request.
 */
final class PrefixAffinity {

	private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;

	private static final double UNIT = 0x1.0p-53;

	private long state;

	PrefixAffinity(long fingerprint) {
		this.state = fingerprint;
	}

	/**
	 * Returns the next value.
	 * @return a value from 0 (included) to 1 (excluded)
	 */
	double nextDouble() {
		this.state += GOLDEN_GAMMA;
		long mixed = this.state;
		mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
		mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
		mixed ^= mixed >>> 31;
		return (mixed >>> 11) * UNIT;
	}

}
