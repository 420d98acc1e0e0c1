package org.burdocktray.process.membership;

import org.burdocktray.model.Vm;

/**
 * Entry for one VM in the local view of a VM. Only the VM itself increments its
 * incarnation, so its own statements supersede the entries of other VMs. Thread safety:
 * immutable.
 *
 * @param vm the VM
 * @param incarnation increases with each start of a process under this name and with each
 * refutation
 * @param state the state in the local view
 */
public record Member(Vm vm, long incarnation, MemberState state) {

	/**
	 * Returns the unique name of the VM.
	 * @return the name
	 */
	public String name() {
		return this.vm.name();
	}

	boolean supersedes(Member other) {
		if (this.incarnation != other.incarnation) {
			return this.incarnation > other.incarnation;
		}
		return this.state.compareTo(other.state) > 0;
	}

	Member withState(MemberState newState) {
		return new Member(this.vm, this.incarnation, newState);
	}

	Member withIncarnation(long newIncarnation) {
		return new Member(this.vm, newIncarnation, this.state);
	}

}
