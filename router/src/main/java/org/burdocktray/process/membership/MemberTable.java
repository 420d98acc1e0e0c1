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
 * What this VM believes of all others. Invariants: the incarnation of an entry never
 * decreases while the entry is kept; only this VM raises its own incarnation; iteration
 * follows the names, so equal histories give equal choices. Thread safety: none.
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

	// Takes in a belief. Returns the entry to be spread, empty when nothing changed here.
	Optional<Member> merge(Member heard, long nowNanos) {
		if (heard.name().equals(this.self.name())) {
			return mergeSelf(heard);
		}
		Member current = this.others.get(heard.name());
		if (current == null && !heard.state().isActive()) {
			return Optional.empty();
		}
		if (current != null && !heard.supersedes(current)) {
			return Optional.empty();
		}
		put(heard, nowNanos);
		return Optional.of(heard);
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

	private Optional<Member> mergeSelf(Member heard) {
		if (heard.incarnation() < this.self.incarnation() || this.self.state() == MemberState.LEAVING) {
			return Optional.empty();
		}
		boolean sameProcessAddress = heard.vm().equals(this.self.vm());
		if (heard.state().isActive() && !sameProcessAddress) {
			// Two processes run under one name: the one with the higher incarnation
			// stays.
			this.superseded |= heard.incarnation() > this.self.incarnation();
			return Optional.empty();
		}
		if (heard.equals(this.self)) {
			return Optional.empty();
		}
		this.superseded = false;
		this.self = this.self.withIncarnation(heard.incarnation() + 1);
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

	// Gives all suspects their full time again, because this VM did not hear refutations
	// while it was paused.
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
		List<String> forgotten = this.inactiveSinceNanos.entrySet()
			.stream()
			.filter((gone) -> nowNanos - gone.getValue() >= this.settings.retentionNanos())
			.map(Map.Entry::getKey)
			.filter((name) -> !this.listedVms.containsKey(name))
			.toList();
		forgotten.forEach((name) -> {
			this.others.remove(name);
			this.inactiveSinceNanos.remove(name);
		});
	}

	// Returns where a VM might answer that is not known to be alive.
	List<NetworkAddress> reconnectAddresses(List<NetworkAddress> seeds) {
		Set<NetworkAddress> known = this.others.values()
			.stream()
			.filter((member) -> member.state() != MemberState.DEAD)
			.map((member) -> member.vm().peerAddress())
			.collect(Collectors.toSet());
		known.add(this.self.vm().peerAddress());
		Stream<NetworkAddress> dead = this.others.values()
			.stream()
			.filter((member) -> member.state() == MemberState.DEAD)
			.map((member) -> member.vm().peerAddress());
		Stream<NetworkAddress> candidates = this.listedVms.values().stream().map(Vm::peerAddress);
		return Stream.of(dead, candidates, seeds.stream())
			.flatMap((addresses) -> addresses)
			.distinct()
			.filter((address) -> !known.contains(address))
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
