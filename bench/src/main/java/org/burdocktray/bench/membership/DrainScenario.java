package org.burdocktray.bench.membership;

import java.util.Optional;

import org.burdocktray.model.DataCentre;

/**
 * Describes a run in which an upstream leaves. Thread safety: immutable.
 *
 * @param seed the seed of the random number generators
 * @param vms the number of entry VMs
 * @param firstIndication the source from which the first VM learns that the upstream is
 * leaving
 * @param isolatedDataCentre the data centre that is partitioned from the others shortly
 * before the upstream starts to leave; empty for no partition
 * @param healDelayMillis the time from the start of the upstream's leaving until the
 * partition heals; it never heals if this exceeds the duration of the run
 * @param gossip whether the VMs propagate leaving upstreams by gossip; false is the
 * baseline
 */
public record DrainScenario(long seed, int vms, FirstIndication firstIndication,
		Optional<DataCentre> isolatedDataCentre, long healDelayMillis, boolean gossip) {

	/** The source of the first indication that the upstream is leaving. */
	public enum FirstIndication {

		/** The platform's list of upstreams, which lags. */
		LIST,

		/** A load report that one VM requested. */
		LOAD_REPORT,

		/** A refusal that one VM received. */
		REFUSAL

	}

}
