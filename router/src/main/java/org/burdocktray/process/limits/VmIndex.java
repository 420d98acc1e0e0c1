package org.burdocktray.process.limits;

import org.burdocktray.version.bundle.Organisation;

/**
 * The part of the fleet that is this VM's own. Invariant: while no two VMs have the same
 * seat and all have the same number of seats, the parts sum to the whole, whoever is cut
 * off. Thread safety: immutable.
 *
 * @param index the VM's number, from 0
 * @param vmCount the number of VMs for which the fleet is planned
 * @param hasPredecessor whether another process may have used the seat before
 * @param firstLoanNumber above all loan numbers that an earlier process of this VM's name
 * used
 */
public record VmIndex(int index, int vmCount, boolean hasPredecessor, long firstLoanNumber) {

	public VmIndex {
		if (index < 0 || index >= vmCount) {
			throw new IllegalArgumentException("seat must be 0 to " + (vmCount - 1) + ", was " + index);
		}
	}

	/**
	 * Returns the places of a target that are this VM's own.
	 * @param capacity the whole
	 * @return the number of places
	 */
	public int ownSlots(TargetCapacity capacity) {
		return SlotShare.ownShare(capacity.concurrentStreams(), this.index, this.vmCount);
	}

	/**
	 * Returns this VM's part of an organisation's quota.
	 * @param organisation the organisation
	 * @return the rates
	 */
	public QuotaRates quota(Organisation organisation) {
		return new QuotaRates(organisation.requestsPerSecond() / this.vmCount,
				organisation.tokensPerSecond() / this.vmCount);
	}

}
