package org.burdocktray.process.membership;

import java.util.List;

import org.burdocktray.model.DataCentre;

/**
 * Snapshot of the members in this VM's local view. Thread safety: immutable.
 *
 * @param self this VM
 * @param others the other VMs, ordered by name
 * @param superseded whether a newer process runs under this VM's name
 */
public record MembershipView(Member self, List<Member> others, boolean superseded) {

	public MembershipView {
		others = List.copyOf(others);
	}

	/**
	 * Returns the other VMs that are alive in the local view.
	 * @return the members, without suspects
	 */
	public List<Member> aliveOthers() {
		return this.others.stream().filter((member) -> member.state() == MemberState.ALIVE).toList();
	}

	/**
	 * Returns whether a data centre is reachable.
	 * @param dataCentre the data centre
	 * @return true for the data centre of this VM, and when one of its VMs is alive
	 */
	public boolean isReachable(DataCentre dataCentre) {
		return this.self.vm().dataCentre().equals(dataCentre)
				|| aliveOthers().stream().anyMatch((member) -> member.vm().dataCentre().equals(dataCentre));
	}

}
