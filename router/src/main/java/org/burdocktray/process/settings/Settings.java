package org.burdocktray.process.settings;

import java.util.List;

import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.version.bundle.Operator;

/**
 * Validated settings of one router process. Thread safety: immutable.
 *
 * @param vmName the unique name of this VM
 * @param dataCentre the data centre of this VM
 * @param callerAddress the address that callers connect to
 * @param adminAddress the address that serves metrics, health and status
 * @param peerAddress the address that the other VMs connect to
 * @param platformAddress the address of the platform's object API
 * @param platformCallTimeoutMillis the timeout of one call to the platform
 * @param seedPeers peer addresses to contact first, in addition to the VMs that the
 * platform lists
 * @param trustedOperators the operators whose signatures make a bundle valid
 * @param vmIndex the index of this VM in the fleet, from 0 to {@code vmCount} - 1; VMs
 * that run at the same time must have different indexes
 * @param vmCount the number of VMs the fleet is planned for; must be the same on all VMs
 * @param logLevel the lowest level that is logged, for example {@code INFO}
 * @param clients what clients may take of the process together
 */
public record Settings(String vmName, DataCentre dataCentre, NetworkAddress callerAddress, NetworkAddress adminAddress,
		NetworkAddress peerAddress, NetworkAddress platformAddress, long platformCallTimeoutMillis,
		List<NetworkAddress> seedPeers, List<Operator> trustedOperators, int vmIndex, int vmCount, String logLevel,
		ClientOptions clients) {

	public Settings {
		seedPeers = List.copyOf(seedPeers);
		trustedOperators = List.copyOf(trustedOperators);
	}

}
