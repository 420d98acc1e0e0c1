package org.burdocktray.request.path;

import java.util.random.RandomGenerator;

import org.burdocktray.process.directory.Replica;
import org.burdocktray.process.directory.ReplicaLoads;

/**
 * Spreads new requests over engines before the best ones are full. VMs know the load of
 * an engine late and decide at the same time, so all of them would fill the best engines
 * and then leave them together. Each request therefore turns to other engines early, with
 * a probability that grows with the load (random early detection). Thread safety: none,
 * confined to one event loop.
 */
public final class LoadSpread {

	/** The share of an engine's KV cache that new requests may fill at most. */
	public static final double MAX_KV_SHARE = 0.85;

	/** The share of the KV cache up to which no request turns away. */
	public static final double EARLY_KV_SHARE = 0.35;

	/** The share of taken slots up to which no request turns away. */
	private static final double EARLY_SLOT_SHARE = 0.5;

	/** The share of taken slots from which all requests turn away. */
	private static final double MAX_SLOT_SHARE = 0.95;

	private final ReplicaLoads loads;

	private final RandomGenerator random;

	/**
	 * Creates the spread.
	 * @param loads the load of the engines
	 * @param random the source of the decisions
	 */
	public LoadSpread(ReplicaLoads loads, RandomGenerator random) {
		this.loads = loads;
		this.random = random;
	}

	/**
	 * Draws the share of the KV cache of engines that one request may fill.
	 * @return at most {@link #MAX_KV_SHARE}
	 */
	public double drawKvShare() {
		return this.random.nextDouble(EARLY_KV_SHARE, MAX_KV_SHARE);
	}

	/**
	 * Decides whether a request may begin at an engine, by the slots that are taken.
	 * @param engine the engine
	 * @return false if it should begin at another one, provided that there is one
	 */
	public boolean mayBegin(Replica engine) {
		double taken = this.loads.sequences(engine) / (double) Math.max(1, engine.slots());
		return taken < this.random.nextDouble(EARLY_SLOT_SHARE, MAX_SLOT_SHARE);
	}

}
