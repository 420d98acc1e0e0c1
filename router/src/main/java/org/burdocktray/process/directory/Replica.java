package org.burdocktray.process.directory;

import java.util.Optional;

import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;

/**
 * One start of a replica as it registered itself. Thread safety: immutable.
 *
 * @param id the id, which may stay the same over a restart
 * @param startedAtMillis when it started, in milliseconds since 1970; 0 when not told
 * @param service the service that it belongs to
 * @param address where it takes requests
 * @param dataCentre where it runs
 * @param slots the requests that it processes at once
 * @param draining whether it is leaving
 * @param acceleratorKind the name of its accelerator, for engines
 * @param layers the layers that it holds, empty when it holds none
 */
public record Replica(String id, long startedAtMillis, String service, NetworkAddress address, DataCentre dataCentre,
		int slots, boolean draining, Optional<String> acceleratorKind, Optional<LayerRange> layers) {

	/**
	 * Tells whether this is the same start of the same replica.
	 * @param other another entry
	 * @return whether what is known of one holds for the other
	 */
	public boolean isSameInstance(Replica other) {
		return this.id.equals(other.id) && this.startedAtMillis == other.startedAtMillis;
	}

	/**
	 * Returns this replica with other layers.
	 * @param held the layers, empty for none
	 * @return the replica
	 */
	public Replica withLayers(Optional<LayerRange> held) {
		return new Replica(this.id, this.startedAtMillis, this.service, this.address, this.dataCentre, this.slots,
				this.draining, this.acceleratorKind, held);
	}

}
