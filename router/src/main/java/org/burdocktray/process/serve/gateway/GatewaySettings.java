package org.burdocktray.process.serve.gateway;

import java.util.Optional;

import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;

/**
 * The settings of one gateway process. Thread safety: immutable.
 *
 * @param vmName the unique name of the VM
 * @param dataCentre where the VM runs
 * @param callerAddress where callers connect
 * @param readinessAddress where the balancer asks whether this VM takes requests
 * @param peerAddress where this VM hears the others of its data centre
 * @param metricsAddress where metrics are served
 * @param platformAddress the platform's store
 * @param bounds the times and amounts that the platform promises or asks for
 */
public record GatewaySettings(String vmName, DataCentre dataCentre, NetworkAddress callerAddress,
		NetworkAddress readinessAddress, NetworkAddress peerAddress, Optional<NetworkAddress> metricsAddress,
		NetworkAddress platformAddress, Bounds bounds) {

	/**
	 * Returns these settings with an address for metrics.
	 * @param address the address
	 * @return the settings
	 */
	public GatewaySettings withMetricsAddress(NetworkAddress address) {
		return new GatewaySettings(this.vmName, this.dataCentre, this.callerAddress, this.readinessAddress,
				this.peerAddress, Optional.of(address), this.platformAddress, this.bounds);
	}

	/**
	 * The times and amounts that the platform promises or asks for. Thread safety:
	 * immutable.
	 *
	 * @param revocationMillis after which time a removed key must not be accepted
	 * @param drainMillis after which time a leaving replica must get no requests
	 * @param graceMillis how long a process may take to stop
	 * @param contactMillis how long a VM counts as disturbed after a disturbance
	 * @param retryRatio the repeats a request
	 * @param retryWindowMillis the window over which repeats are counted
	 * @param retryExtra the repeats of the fleet in a window beside the ratio
	 * @param stallMillis how long an engine waits for another one of a path
	 */
	public record Bounds(long revocationMillis, long drainMillis, long graceMillis, long contactMillis,
			double retryRatio, long retryWindowMillis, int retryExtra, long stallMillis) {

	}

}
