package org.burdocktray.model;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

/**
 * Ranks candidates for a key by rendezvous hashing, so that all processes that know the
 * same candidates rank them alike. Invariant: when a candidate leaves, the order of the
 * others stays. Thread safety: stateless.
 */
public final class RendezvousHash {

	private static final long FNV_OFFSET = 0xcbf29ce484222325L;

	private static final long FNV_PRIME = 0x100000001b3L;

	private RendezvousHash() {
	}

	/**
	 * Ranks candidates.
	 * @param <T> the type of the candidates
	 * @param key the key for which they are ranked
	 * @param candidates the candidates, in any order
	 * @param name returns the unique name of a candidate
	 * @return the candidates from the highest to the lowest score
	 */
	public static <T> List<T> ranked(String key, Collection<T> candidates, Function<T, String> name) {
		Comparator<T> byScore = Comparator.comparingLong((candidate) -> score(key, name.apply(candidate)));
		return candidates.stream().sorted(byScore.thenComparing(name).reversed()).toList();
	}

	/**
	 * Returns the score of a candidate for a key.
	 * @param key the key
	 * @param name the unique name of the candidate
	 * @return the score
	 */
	public static long score(String key, String name) {
		long hash = FNV_OFFSET;
		for (byte octet : (key + "/" + name).getBytes(StandardCharsets.UTF_8)) {
			hash = (hash ^ (octet & 0xff)) * FNV_PRIME;
		}
		return mix(hash);
	}

	// Names often differ only in their last character, which changes few bits of the
	// hash.
	private static long mix(long hash) {
		long mixed = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
		mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
		return mixed ^ (mixed >>> 33);
	}

}
