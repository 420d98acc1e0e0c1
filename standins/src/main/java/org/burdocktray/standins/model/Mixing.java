package org.burdocktray.standins.model;

/**
 * Hash functions for 64-bit values and texts, based on the finalizer of SplitMix64.
 * Thread safety: stateless.
 */
final class Mixing {

	private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;

	private static final long FIRST_MULTIPLIER = 0xBF58476D1CE4E5B9L;

	private static final long SECOND_MULTIPLIER = 0x94D049BB133111EBL;

	private Mixing() {
	}

	static long mix(long first, long second) {
		long mixed = (first * GOLDEN_GAMMA) + Long.rotateLeft(second, 32) + GOLDEN_GAMMA;
		mixed = (mixed ^ (mixed >>> 30)) * FIRST_MULTIPLIER;
		mixed = (mixed ^ (mixed >>> 27)) * SECOND_MULTIPLIER;
		return mixed ^ (mixed >>> 31);
	}

	static long hash(String text) {
		long hash = text.length();
		for (int index = 0; index < text.length(); index++) {
			hash = mix(hash, text.charAt(index));
		}
		return hash;
	}

}
