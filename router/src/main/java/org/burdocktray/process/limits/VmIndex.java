package org.burdocktray.process.limits;

import org.burdocktray.version.bundle.Organisation;

/**
 * This VM's index in the fleet, which determines its share of the fleet's capacity and
 * quotas. Invariant: as long as all VMs have different indexes and the same VM count, the
 * shares sum to the total, even during network partitions. Thread safety: immutable.
 *
 * @param index the index, from 0
 * @param vmCount the number of VMs for which the fleet is planned
 * @param hasPredecessor whether an earlier process may have used the same index
 * @param firstLoanNumber a number above all loan numbers that earlier processes with this
 * VM's name used
 */
public record VmIndex(int index, int vmCount, boolean hasPredecessor, long firstLoanNumber) {

	public VmIndex {
		if (index < 0 || index >= vmCount) {
			throw new IllegalArgumentException("VM index must be 0 to " + (vmCount - 1) + ", was " + index);
		}
	}

	/**
	 * Returns this VM's own slots for a target.
	 * @param capacity the capacity of the fleet for the target
	 * @return the number of slots
	 */
	public int ownSlots(TargetCapacity capacity) {
		return SlotShare.ownShare(capacity.concurrentStreams(), this.index, this.vmCount);
	}

	/**
	 * Returns this VM's share of an organisation's quota.
	 * @param organisation the organisation
	 * @return the rates
	 */
	public QuotaRates quota(Organisation organisation) {
		return new QuotaRates(organisation.requestsPerSecond() / this.vmCount,
				organisation.tokensPerSecond() / this.vmCount);
	}

}
