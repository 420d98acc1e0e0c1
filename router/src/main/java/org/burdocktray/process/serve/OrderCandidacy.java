package org.burdocktray.process.serve;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.Supplier;

import org.burdocktray.model.Vm;
import org.burdocktray.process.claim.ShardPreference;

/**
 * Tests whether this VM is a candidate for the lease on the orders of a group. The
 * candidates are the two alive VMs that rendezvous hashing ranks highest for the group.
 * The test only saves calls to the platform; the lease determines the holder. Thread
 * safety: safe for use by multiple threads.
 */
final class OrderCandidacy implements Predicate<String> {

	private final String selfName;

	private final Supplier<List<Vm>> aliveVms;

	OrderCandidacy(String selfName, Supplier<List<Vm>> aliveVms) {
		this.selfName = selfName;
		this.aliveVms = aliveVms;
	}

	@Override
	public boolean test(String group) {
		List<String> names = this.aliveVms.get().stream().map(Vm::name).toList();
		Optional<String> first = ShardPreference.preferred(group.hashCode(), names);
		List<String> remaining = names.stream().filter((name) -> !first.equals(Optional.of(name))).toList();
		Optional<String> second = ShardPreference.preferred(group.hashCode(), remaining);
		return first.equals(Optional.of(this.selfName)) || second.equals(Optional.of(this.selfName));
	}

}
