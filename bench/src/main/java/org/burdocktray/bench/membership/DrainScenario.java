package org.burdocktray.bench.membership;

import java.util.Optional;

import org.burdocktray.model.DataCentre;

/**
 * How an upstream leaves. Thread safety: immutable.
 *
 * @param seed the seed of all random choices
 * @param vms the number of entry VMs
 * @param firstIndication how the fleet learns of it first
 * @param isolatedDataCentre a data centre that is cut off from the others' VMs from
 * before the upstream leaves
 * @param healDelayMillis when the cut heals, counted from the upstream's leaving
 * @param gossip whether the VMs tell each other; without it is the baseline
 */
public record DrainScenario(long seed, int vms, FirstIndication firstIndication,
		Optional<DataCentre> isolatedDataCentre, long healDelayMillis, boolean gossip) {

	/** Where the first sign comes from. */
	public enum FirstIndication {

		/** The platform's lagging list. */
		LIST,

		/** A load report that one VM asked for. */
		LOAD_REPORT,

		/** A refusal that one VM got. */
		REFUSAL

	}

}
