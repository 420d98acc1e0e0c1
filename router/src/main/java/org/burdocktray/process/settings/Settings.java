package org.burdocktray.process.settings;

import java.util.List;

import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.version.bundle.Operator;

/**
 * The checked settings of one router process. Thread safety: immutable.
 *
 * @param vmName the unique name of this VM
 * @param dataCentre the data centre of this VM
 * @param callerAddress where callers connect
 * @param adminAddress where metrics and health are served
 * @param peerAddress where the other VMs connect
 * @param platformAddress the platform's object API
 * @param platformCallTimeoutMillis the timeout of one call to the platform
 * @param seedPeers peer addresses to try first; the platform's list adds to them
 * @param trustedOperators the operators whose signatures make a bundle valid
 * @param vmIndex the number of this VM among the VMs the fleet is planned for, from 0; no
 * two VMs at a time have the same
 * @param fleetSize the number of VMs the fleet is planned for, the same on all VMs
 * @param logLevel the lowest level that is logged
 */
public record Settings(String vmName, DataCentre dataCentre, NetworkAddress callerAddress, NetworkAddress adminAddress,
		NetworkAddress peerAddress, NetworkAddress platformAddress, long platformCallTimeoutMillis,
		List<NetworkAddress> seedPeers, List<Operator> trustedOperators, int vmIndex, int fleetSize, String logLevel) {

	public Settings {
		seedPeers = List.copyOf(seedPeers);
		trustedOperators = List.copyOf(trustedOperators);
	}

}
