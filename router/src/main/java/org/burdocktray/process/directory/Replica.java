package org.burdocktray.process.directory;

import java.util.Optional;

import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;

/**
 * A running instance of a replica as registered in the platform's store. Thread safety:
 * immutable.
 *
 * @param id the id, which may be the same after a restart
 * @param startedAtMillis the start time in milliseconds since 1970, 0 if unknown
 * @param service the name of its service
 * @param address the address that accepts requests
 * @param dataCentre the data centre that it runs in
 * @param slots the number of requests that it processes concurrently
 * @param draining whether it is shutting down and must get no new requests
 * @param acceleratorKind the name of its accelerator kind, empty if it is no engine
 * @param layers the layers that it holds, empty for none
 */
public record Replica(String id, long startedAtMillis, String service, NetworkAddress address, DataCentre dataCentre,
		int slots, boolean draining, Optional<String> acceleratorKind, Optional<LayerRange> layers) {

	/**
	 * Returns whether an entry describes the same running instance.
	 * @param other another entry
	 * @return true if id and start time are equal, so that the collected state of one
	 * applies to the other
	 */
	public boolean isSameInstance(Replica other) {
		return this.id.equals(other.id) && this.startedAtMillis == other.startedAtMillis;
	}

	/**
	 * Returns a copy with other layers.
	 * @param held the layers, empty for none
	 * @return the changed copy
	 */
	public Replica withLayers(Optional<LayerRange> held) {
		return new Replica(this.id, this.startedAtMillis, this.service, this.address, this.dataCentre, this.slots,
				this.draining, this.acceleratorKind, held);
	}

}
