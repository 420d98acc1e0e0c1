package org.burdocktray.process.membership;

import java.util.List;

import org.burdocktray.connection.peer.generated.Gossip;

/**
 * Data that the VMs propagate by gossip. The merge must be commutative, associative and
 * idempotent, because messages arrive in any order and more than once. Thread safety:
 * none required; called by one thread at a time.
 */
public interface GossipTopic {

	/**
	 * Merges data received from another VM.
	 * @param gossip the message; implementations must ignore the parts of other topics
	 * @param nowNanos the time
	 * @return the changes that were new to this VM and are to be propagated further
	 */
	List<GossipItem> merge(Gossip gossip, long nowNanos);

	/**
	 * Returns all data of this topic, for a VM that joins or was partitioned.
	 * @param nowNanos the time
	 * @return the complete data
	 */
	Gossip table(long nowNanos);

	/**
	 * Returns the changes made on this VM since the last call, which are to be
	 * propagated.
	 * @param nowNanos the time
	 * @return the changes
	 */
	List<GossipItem> takeLocalChanges(long nowNanos);

}
