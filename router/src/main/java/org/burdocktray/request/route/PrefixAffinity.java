package org.burdocktray.request.route;

/**
 * Generates pseudorandom values (SplitMix64) from the fingerprint of a prompt's prefix,
 * so that requests with the same prefix select the same engines. Thread safety: none,
 * used for one request.
 */
final class PrefixAffinity {

	private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;

	private static final double TWO_TO_MINUS_53 = 0x1.0p-53;

	private long state;

	PrefixAffinity(long fingerprint) {
		this.state = fingerprint;
	}

	/**
	 * Returns the next uniformly distributed value.
	 * @return a value from 0 (inclusive) to 1 (exclusive)
	 */
	double nextDouble() {
		this.state += GOLDEN_GAMMA;
		long mixed = this.state;
		mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
		mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
		mixed ^= mixed >>> 31;
		return (mixed >>> 11) * TWO_TO_MINUS_53;
	}

}
