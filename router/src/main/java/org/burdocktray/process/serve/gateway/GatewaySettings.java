package org.burdocktray.process.serve.gateway;

import java.util.Optional;

import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;

/**
 * The settings of one gateway process. Thread safety: immutable.
 *
 * @param vmName the unique name of the VM
 * @param dataCentre the data centre in which the VM runs
 * @param callerAddress the address on which callers connect
 * @param readinessAddress the address of the load balancer's readiness check
 * @param peerAddress the address on which this VM receives messages of the other VMs in
 * its data centre
 * @param metricsAddress the address on which metrics are served, empty to serve none
 * @param platformAddress the address of the platform's store
 * @param size the resources of the VM
 * @param bounds the time limits and quantities that the platform guarantees or requires
 */
public record GatewaySettings(String vmName, DataCentre dataCentre, NetworkAddress callerAddress,
		NetworkAddress readinessAddress, NetworkAddress peerAddress, Optional<NetworkAddress> metricsAddress,
		NetworkAddress platformAddress, VmSize size, Bounds bounds) {

	/**
	 * Returns a copy of these settings with an address for metrics.
	 * @param address the address on which metrics are served
	 * @return the copy
	 */
	public GatewaySettings withMetricsAddress(NetworkAddress address) {
		return new GatewaySettings(this.vmName, this.dataCentre, this.callerAddress, this.readinessAddress,
				this.peerAddress, Optional.of(address), this.platformAddress, this.size, this.bounds);
	}

	/**
	 * The resources of a VM. Thread safety: immutable.
	 *
	 * @param cores the processor cores that the process may use, possibly a fraction
	 * @param memoryBytes the memory that the process may use
	 * @param linkBitsPerSecond the bandwidth of the VM's network link
	 * @param maxDescriptors the descriptors that the process may have open
	 */
	public record VmSize(double cores, long memoryBytes, double linkBitsPerSecond, int maxDescriptors) {

		private static final int TYPICAL_DESCRIPTORS = 4_096;

		/** The size that is assumed where the platform does not tell it. */
		public static final VmSize TYPICAL = new VmSize(1, 512_000_000, 1e9);

		/**
		 * Creates a size with the usual number of descriptors.
		 * @param cores the processor cores that the process may use
		 * @param memoryBytes the memory that the process may use
		 * @param linkBitsPerSecond the bandwidth of the VM's network link
		 */
		public VmSize(double cores, long memoryBytes, double linkBitsPerSecond) {
			this(cores, memoryBytes, linkBitsPerSecond, TYPICAL_DESCRIPTORS);
		}

	}

	/**
	 * The time limits and quantities that the platform guarantees or requires. Thread
	 * safety: immutable.
	 *
	 * @param revocationMillis the time after which a removed key must not be accepted
	 * @param drainMillis the time after which a draining replica must get no requests
	 * @param graceMillis how long a process may take to stop
	 * @param contactMillis how long a VM counts as disturbed after a disturbance
	 * @param retryRatio the number of retries per request
	 * @param retryWindowMillis the time window in which retries are counted
	 * @param retryExtra the retries that the fleet may send per window in addition to the
	 * ratio
	 * @param stallMillis how long an engine waits for another engine of a path
	 * @param rulesMillis the time after which new rules must be in force
	 */
	public record Bounds(long revocationMillis, long drainMillis, long graceMillis, long contactMillis,
			double retryRatio, long retryWindowMillis, int retryExtra, long stallMillis, long rulesMillis) {

		/**
		 * Creates bounds where new rules must be in force as soon as a drain.
		 * @param revocationMillis the time after which a removed key must not be accepted
		 * @param drainMillis the time after which a draining replica must get no requests
		 * @param graceMillis how long a process may take to stop
		 * @param contactMillis how long a VM counts as disturbed after a disturbance
		 * @param retryRatio the number of retries per request
		 * @param retryWindowMillis the time window in which retries are counted
		 * @param retryExtra the retries that the fleet may send per window in addition to
		 * the ratio
		 * @param stallMillis how long an engine waits for another engine of a path
		 */
		public Bounds(long revocationMillis, long drainMillis, long graceMillis, long contactMillis, double retryRatio,
				long retryWindowMillis, int retryExtra, long stallMillis) {
			this(revocationMillis, drainMillis, graceMillis, contactMillis, retryRatio, retryWindowMillis, retryExtra,
					stallMillis, drainMillis);
		}

	}

}
