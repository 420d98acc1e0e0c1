package org.burdocktray.process.claim;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

import org.burdocktray.model.RendezvousHash;

/**
 * Selects a VM for a shard by rendezvous hashing. Invariant: when a VM leaves, only its
 * own shards are reassigned. Thread safety: stateless.
 */
public final class ShardPreference {

	private ShardPreference() {
	}

	/**
	 * Returns the VM with the highest score for a shard.
	 * @param shard the index of the shard
	 * @param vmNames the names of the alive VMs, in any order
	 * @return the name; empty if there are no VMs
	 */
	public static Optional<String> preferred(int shard, Collection<String> vmNames) {
		return vmNames.stream()
			.max(Comparator.<String>comparingLong((name) -> RendezvousHash.score(String.valueOf(shard), name))
				.thenComparing((name) -> name));
	}

}
