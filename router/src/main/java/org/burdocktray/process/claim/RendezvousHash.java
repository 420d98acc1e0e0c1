package org.burdocktray.process.claim;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Selects a VM for a shard by rendezvous hashing. Invariant: when a VM leaves, only its
 * own shards are reassigned. Thread safety: stateless.
 */
public final class RendezvousHash {

	private static final long FNV_OFFSET = 0xcbf29ce484222325L;

	private static final long FNV_PRIME = 0x100000001b3L;

	private RendezvousHash() {
	}

	/**
	 * Returns the VM with the highest score for a shard.
	 * @param shard the index of the shard
	 * @param vmNames the names of the alive VMs, in any order
	 * @return the name; empty if there are no VMs
	 */
	public static Optional<String> preferred(int shard, Collection<String> vmNames) {
		return vmNames.stream()
			.max(Comparator.<String>comparingLong((name) -> score(shard, name)).thenComparing((name) -> name));
	}

	private static long score(int shard, String vmName) {
		long hash = FNV_OFFSET;
		for (byte octet : (shard + "/" + vmName).getBytes(StandardCharsets.UTF_8)) {
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
