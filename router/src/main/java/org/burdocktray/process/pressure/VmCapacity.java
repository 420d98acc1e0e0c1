package org.burdocktray.process.pressure;

import org.burdocktray.model.NetworkAddress;

/**
 * What a VM can take on for others of its data centre, as it reports. Thread safety:
 * immutable.
 *
 * @param address the address of the VM
 * @param cores its processor cores, as it has registered them
 * @param freeCores the cores that its own requests leave free, at most all
 * @param underPressure whether it is under pressure itself
 * @param measuredNanos the monotonic time of this VM at which it reported
 */
public record VmCapacity(NetworkAddress address, double cores, double freeCores, boolean underPressure,
		long measuredNanos) {

}
