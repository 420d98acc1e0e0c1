package org.burdocktray.process.watch;

import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;

/**
 * A registered VM that may watch the store. Thread safety: immutable.
 *
 * @param name its unique name
 * @param dataCentre the data centre in which it runs
 * @param address the address on which it receives requests of other VMs
 * @param capacity how much a VM can do for others, relative to other VMs
 */
public record WatchVm(String name, DataCentre dataCentre, NetworkAddress address, double capacity) {

	/** The bandwidth that matches one core when a VM serves others. */
	private static final double LINK_BITS_PER_CORE = 1e8;

	/**
	 * Computes the capacity of a VM from its size. Values that no VM can have count as
	 * none.
	 * @param cores its processor cores
	 * @param linkBitsPerSecond the bandwidth of its link
	 * @return the capacity, limited by the scarcer resource
	 */
	public static double capacityOf(double cores, double linkBitsPerSecond) {
		double capacity = Math.min(cores, linkBitsPerSecond / LINK_BITS_PER_CORE);
		return (Double.isFinite(capacity) && capacity > 0) ? capacity : 0;
	}

}
