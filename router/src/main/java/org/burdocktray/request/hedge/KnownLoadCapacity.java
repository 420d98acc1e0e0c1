package org.burdocktray.request.hedge;

import java.util.List;
import java.util.function.BooleanSupplier;

import org.burdocktray.process.directory.Replica;
import org.burdocktray.process.directory.ReplicaLoads;

/**
 * Judges capacity by the loads that this VM knows: reports of engines, and its own
 * requests at other replicas. Thread safety: none, confined to one event loop.
 */
public final class KnownLoadCapacity implements HedgeCapacity {

	/** The share of slots from which new requests begin to turn away from engines. */
	private static final double MAX_SLOT_SHARE = 0.5;

	private final ReplicaLoads loads;

	private final BooleanSupplier requestsWait;

	/**
	 * Creates the judgement.
	 * @param loads the loads of replicas
	 * @param requestsWait whether a request waits for free capacity
	 */
	public KnownLoadCapacity(ReplicaLoads loads, BooleanSupplier requestsWait) {
		this.loads = loads;
		this.requestsWait = requestsWait;
	}

	@Override
	public boolean isAvailable(String service, List<Replica> replicas) {
		return !this.requestsWait.getAsBoolean() && replicas.stream().allMatch(this::hasFreeSlots);
	}

	private boolean hasFreeSlots(Replica replica) {
		return this.loads.sequences(replica) <= MAX_SLOT_SHARE * Math.max(1, replica.slots());
	}

}
