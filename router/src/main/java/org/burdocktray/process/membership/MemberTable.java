package org.burdocktray.process.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.burdocktray.connection.peer.generated.Gossip;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.model.Vm;

/**
 * This VM's local view of all VMs. Invariants: the incarnation of an entry never
 * decreases while the entry is kept; only this VM increments its own incarnation;
 * iteration is ordered by name, so that equal histories result in equal choices. Thread
 * safety: none.
 */
final class MemberTable {

	private final MembershipSettings settings;

	private final Map<String, Member> others = new TreeMap<>();

	private final Map<String, Long> suspectUntilNanos = new HashMap<>();

	private final Map<String, Long> inactiveSinceNanos = new HashMap<>();

	private Map<String, Vm> listedVms = Map.of();

	private Member self;

	private boolean superseded;

	MemberTable(MembershipSettings settings, Member self) {
		this.settings = settings;
		this.self = self;
	}

	Member self() {
		return this.self;
	}

	Optional<Member> find(String name) {
		return Optional.ofNullable(this.others.get(name));
	}

	Optional<Member> findByAddress(NetworkAddress address) {
		return this.others.values().stream().filter((member) -> member.vm().peerAddress().equals(address)).findFirst();
	}

	List<Member> findActive(Predicate<Member> condition) {
		return this.others.values().stream().filter((member) -> member.state().isActive()).filter(condition).toList();
	}

	int memberCount() {
		return findActive((member) -> true).size() + 1;
	}

	// Merges a received entry. Returns the entry to be propagated, empty when nothing
	// changed.
	Optional<Member> merge(Member received, long nowNanos) {
		if (received.name().equals(this.self.name())) {
			return mergeSelf(received);
		}
		Member current = this.others.get(received.name());
		if (current == null && !received.state().isActive()) {
			return Optional.empty();
		}
		if (current != null && !received.supersedes(current)) {
			return Optional.empty();
		}
		put(received, nowNanos);
		return Optional.of(received);
	}

	private void put(Member member, long nowNanos) {
		String name = member.name();
		this.others.put(name, member);
		this.suspectUntilNanos.remove(name);
		if (member.state().isActive()) {
			this.inactiveSinceNanos.remove(name);
		}
		else {
			this.inactiveSinceNanos.put(name, nowNanos);
		}
		if (member.state() == MemberState.SUSPECT) {
			this.suspectUntilNanos.put(name, nowNanos + this.settings.suspicionNanos(memberCount()));
		}
	}

	private Optional<Member> mergeSelf(Member received) {
		if (received.incarnation() < this.self.incarnation() || this.self.state() == MemberState.LEAVING) {
			return Optional.empty();
		}
		boolean sameProcessAddress = received.vm().equals(this.self.vm());
		if (received.state().isActive() && !sameProcessAddress) {
			// Two processes run under one name: the one with the higher incarnation takes
			// precedence.
			this.superseded |= received.incarnation() > this.self.incarnation();
			return Optional.empty();
		}
		if (received.equals(this.self)) {
			return Optional.empty();
		}
		this.superseded = false;
		this.self = this.self.withIncarnation(received.incarnation() + 1);
		return Optional.of(this.self);
	}

	Optional<Member> markSuspect(String name, long nowNanos) {
		return find(name).filter((member) -> member.state() == MemberState.ALIVE)
			.flatMap((member) -> merge(member.withState(MemberState.SUSPECT), nowNanos));
	}

	List<Member> expireSuspicions(long nowNanos) {
		List<String> expired = this.suspectUntilNanos.entrySet()
			.stream()
			.filter((suspicion) -> nowNanos - suspicion.getValue() >= 0)
			.map(Map.Entry::getKey)
			.sorted()
			.toList();
		return expired.stream()
			.map((name) -> this.others.get(name).withState(MemberState.DEAD))
			.flatMap((dead) -> merge(dead, nowNanos).stream())
			.toList();
	}

	// Restarts the timeouts of all suspects, because this VM could not receive
	// refutations while it was paused.
	void restartSuspicions(long nowNanos) {
		this.suspectUntilNanos.replaceAll((name, until) -> nowNanos + this.settings.suspicionNanos(memberCount()));
	}

	Member markLeaving() {
		this.self = this.self.withState(MemberState.LEAVING);
		return this.self;
	}

	void updateListedVms(List<Vm> liveVms, long nowNanos) {
		this.listedVms = liveVms.stream()
			.filter((vm) -> !vm.name().equals(this.self.name()))
			.collect(Collectors.toMap(Vm::name, (vm) -> vm, (first, second) -> first, TreeMap::new));
		List<String> expired = this.inactiveSinceNanos.entrySet()
			.stream()
			.filter((entry) -> nowNanos - entry.getValue() >= this.settings.retentionNanos())
			.map(Map.Entry::getKey)
			.filter((name) -> !this.listedVms.containsKey(name))
			.toList();
		expired.forEach((name) -> {
			this.others.remove(name);
			this.inactiveSinceNanos.remove(name);
		});
	}

	// Returns the addresses of VMs that are dead in the local view or missing from it but
	// may respond.
	List<NetworkAddress> reconnectAddresses(List<NetworkAddress> seeds) {
		Set<NetworkAddress> memberAddresses = this.others.values()
			.stream()
			.filter((member) -> member.state() != MemberState.DEAD)
			.map((member) -> member.vm().peerAddress())
			.collect(Collectors.toSet());
		memberAddresses.add(this.self.vm().peerAddress());
		Stream<NetworkAddress> deadAddresses = this.others.values()
			.stream()
			.filter((member) -> member.state() == MemberState.DEAD)
			.map((member) -> member.vm().peerAddress());
		Stream<NetworkAddress> listedAddresses = this.listedVms.values().stream().map(Vm::peerAddress);
		return Stream.of(deadAddresses, listedAddresses, seeds.stream())
			.flatMap((addresses) -> addresses)
			.distinct()
			.filter((address) -> !memberAddresses.contains(address))
			.toList();
	}

	Gossip toGossip() {
		Gossip.Builder table = Gossip.newBuilder().addMembers(MemberCodec.encode(this.self));
		this.others.values().forEach((member) -> table.addMembers(MemberCodec.encode(member)));
		return table.build();
	}

	MembershipView view() {
		return new MembershipView(this.self, new ArrayList<>(this.others.values()), this.superseded);
	}

}
