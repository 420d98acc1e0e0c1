package org.burdocktray.process.serve.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

import org.burdocktray.connection.peer.generated.RelayOffer;
import org.burdocktray.connection.peer.generated.SharedLoads;
import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.process.directory.ReplicaLoads;
import org.burdocktray.process.relay.OfferWait;

/**
 * The VMs that offer to relay requests while this VM reaches no replica. It asks some
 * VMs, in datagrams that may be lost; those that reach replicas and have room reply, so
 * VMs that have ended, are cut off as well, or know nothing of relays are never chosen.
 * An offer holds for a moment only. Thread safety: none, confined to one event loop.
 */
final class RelayVms {

	/**
	 * The number of VMs that are asked at a time; keeps the cost independent of the
	 * fleet.
	 */
	private static final int MAX_ASKED = 16;

	private static final long ASK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

	private static final long OFFER_NANOS = TimeUnit.MILLISECONDS.toNanos(1_300);

	/** Requests in progress that outweigh the distance to another data centre. */
	private static final double REMOTE_DATA_CENTRE_PENALTY = 4;

	private static final double MAX_RANDOM_PENALTY = 3;

	private final VmDatagrams datagrams;

	private final DataCentre localDataCentre;

	private final ReplicaLoads loads;

	private final RandomGenerator random;

	private final Map<NetworkAddress, Offer> offers = new HashMap<>();

	private Map<NetworkAddress, Replica> vms = Map.of();

	private final OfferWait wait = new OfferWait();

	private boolean asking;

	private long lastAskNanos;

	RelayVms(VmDatagrams datagrams, DataCentre localDataCentre, ReplicaLoads loads, RandomGenerator random) {
		this.datagrams = datagrams;
		this.localDataCentre = localDataCentre;
		this.loads = loads;
		this.random = random;
	}

	/**
	 * Sets the VMs that may be asked.
	 * @param registered the registered VMs; may include this VM
	 */
	void setVms(List<FleetRegistry.RegisteredVm> registered) {
		Map<NetworkAddress, Replica> next = new HashMap<>();
		registered.forEach((vm) -> vm.address().ifPresent((address) -> next.put(address, toReplica(vm, address))));
		this.vms = Map.copyOf(next);
		long nowNanos = System.nanoTime();
		if (this.wait.recordVms(next.keySet(), nowNanos)) {
			ask(nowNanos);
		}
	}

	// For the choice and the health of its targets, a VM that relays is like a replica.
	private static Replica toReplica(FleetRegistry.RegisteredVm vm, NetworkAddress address) {
		return new Replica("vm/" + vm.name(), 0, "", address, vm.dataCentre(), 0, false, Optional.empty(),
				Optional.empty());
	}

	boolean contains(NetworkAddress address) {
		return this.vms.containsKey(address);
	}

	/**
	 * Finds a registered VM.
	 * @param address its address
	 * @return the VM as a target, empty if it is not registered or avoided at present
	 */
	Optional<Target> findForPressure(NetworkAddress address) {
		return Optional.ofNullable(this.vms.get(address))
			.filter((vm) -> !this.loads.isAvoided(vm, System.nanoTime()))
			.map(Target::forPressure);
	}

	int inFlight(NetworkAddress address) {
		return Optional.ofNullable(this.vms.get(address)).map(this.loads::inFlight).orElse(0);
	}

	/**
	 * Returns whether there are VMs to ask.
	 * @return false for a VM that is alone
	 */
	boolean hasOtherVms() {
		return this.vms.size() > 1;
	}

	/**
	 * Begins to ask for offers.
	 * @return whether the list of VMs must be read again, since it may lack some
	 */
	boolean startAsking() {
		this.asking = true;
		long nowNanos = System.nanoTime();
		ask(nowNanos);
		return this.wait.begin(nowNanos);
	}

	/** Stops to ask for offers, and forgets them. */
	void stopAsking() {
		this.asking = false;
		this.wait.end();
		this.offers.clear();
	}

	/**
	 * Asks again if offers are about to lapse.
	 * @param nowNanos the monotonic time
	 */
	void tick(long nowNanos) {
		if (this.asking && nowNanos - this.lastAskNanos >= ASK_INTERVAL_NANOS) {
			ask(nowNanos);
		}
	}

	private void ask(long nowNanos) {
		this.lastAskNanos = nowNanos;
		List<NetworkAddress> remaining = new ArrayList<>(this.vms.keySet());
		List<NetworkAddress> asked = new ArrayList<>();
		while (!remaining.isEmpty() && asked.size() < MAX_ASKED) {
			asked.add(remaining.remove(this.random.nextInt(remaining.size())));
		}
		this.datagrams.send(SharedLoads.newBuilder().setAsksForRelay(true).build(), asked);
	}

	/**
	 * Records an offer.
	 * @param sender the address of the VM that sent it
	 * @param offer the offer
	 */
	void receive(NetworkAddress sender, RelayOffer offer) {
		if (this.asking && this.vms.containsKey(sender)) {
			this.offers.put(sender, new Offer(offer.getInProgress(), System.nanoTime()));
		}
	}

	/**
	 * Asks a VM whether its offer still holds, and forgets the offer until it replies.
	 * @param vm the VM
	 */
	void askAgain(Replica vm) {
		this.offers.remove(vm.address());
		this.datagrams.send(SharedLoads.newBuilder().setAsksForRelay(true).build(), List.of(vm.address()));
	}

	boolean hasOffer(Replica vm) {
		return this.offers.containsKey(vm.address());
	}

	/**
	 * Returns whether offers may still come.
	 * @return true for a moment after VMs were asked, and while their list is being read
	 */
	boolean isAwaitingOffers() {
		return this.wait.isOngoing(System.nanoTime());
	}

	/**
	 * Selects a VM.
	 * @param isExcluded whether a VM has failed the request already
	 * @return a VM that offers to relay, empty if there is none
	 */
	Optional<Target> select(Predicate<Replica> isExcluded) {
		long nowNanos = System.nanoTime();
		this.offers.values().removeIf((offer) -> nowNanos - offer.receivedNanos() > OFFER_NANOS);
		return this.offers.entrySet()
			.stream()
			.filter((entry) -> this.vms.containsKey(entry.getKey()))
			.map((entry) -> new Candidate(this.vms.get(entry.getKey()), entry.getValue()))
			.filter((candidate) -> !isExcluded.test(candidate.vm()))
			.filter((candidate) -> !this.loads.isAvoided(candidate.vm(), nowNanos))
			.map((candidate) -> new Scored(candidate.vm(), score(candidate)))
			.min(Comparator.comparingDouble(Scored::score))
			.map((scored) -> Target.throughVm(scored.vm()));
	}

	private double score(Candidate candidate) {
		double distance = candidate.vm().dataCentre().equals(this.localDataCentre) ? 0 : REMOTE_DATA_CENTRE_PENALTY;
		int inProgress = Math.max(this.loads.inFlight(candidate.vm()), candidate.offer().inProgress());
		return inProgress + distance + MAX_RANDOM_PENALTY * this.random.nextDouble();
	}

	private record Offer(int inProgress, long receivedNanos) {

	}

	private record Candidate(Replica vm, Offer offer) {

	}

	private record Scored(Replica vm, double score) {

	}

}
