package org.burdocktray.bench.bundle;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.burdocktray.connection.platform.StoredObject;
import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.model.Vm;
import org.burdocktray.process.bundle.FollowerSettings;

/**
 * A fleet of VMs around a simulated store, in virtual time. Data centres can be cut off;
 * members are believed by what could be reached a short while ago. Thread safety: one
 * thread.
 */
final class SimulatedFleet {

	private static final int HEARTBEAT_INTERVAL_MILLIS = 1_000;

	private static final int MEMBERSHIP_UPDATE_MILLIS = 3_000;

	private static final int VMS_PER_SUBNET = 250;

	private static final int SEED_PEER_COUNT = 3;

	private final TestScheduler scheduler = new TestScheduler();

	private final Random random;

	private final SigningFixture signing;

	private final Options options;

	private final SimulatedStore store;

	private final List<SimulatedVm> vms = new ArrayList<>();

	private final Map<NetworkAddress, SimulatedVm> vmsByAddress = new HashMap<>();

	private final Set<DataCentre> disconnectedFromPeers = new HashSet<>();

	private final Set<DataCentre> disconnectedFromPlatform = new HashSet<>();

	private int maxPeerDelayMillis;

	SimulatedFleet(int vmCount, int dataCentres, long seed, SigningFixture pool, Options options,
			Consumer<StoredObject> writes) {
		this.random = new Random(seed);
		this.signing = pool;
		this.options = options;
		this.store = new SimulatedStore(this.scheduler, this.random, writes);
		for (int index = 0; index < vmCount; index++) {
			Vm vm = new Vm("vm" + index, new DataCentre("dc" + index % dataCentres),
					new NetworkAddress("10.0." + index / VMS_PER_SUBNET + "." + (index % VMS_PER_SUBNET + 1), 7070));
			SimulatedVm simulated = new SimulatedVm(this, vm);
			this.vms.add(simulated);
			this.vmsByAddress.put(vm.peerAddress(), simulated);
		}
	}

	void start() {
		this.vms.forEach(SimulatedVm::start);
		updateMembers();
		for (SimulatedVm vm : this.vms) {
			schedule(this.random.nextInt(HEARTBEAT_INTERVAL_MILLIS), () -> sendHeartbeats(vm));
		}
	}

	TestScheduler scheduler() {
		return this.scheduler;
	}

	long nowMillis() {
		return this.scheduler.now(TimeUnit.MILLISECONDS);
	}

	void schedule(long millis, Runnable task) {
		this.scheduler.scheduleDirect(task, millis, TimeUnit.MILLISECONDS);
	}

	void advanceTime(long millis) {
		this.scheduler.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
	}

	Random random() {
		return this.random;
	}

	SigningFixture signing() {
		return this.signing;
	}

	SimulatedStore store() {
		return this.store;
	}

	List<SimulatedVm> vms() {
		return this.vms;
	}

	SimulatedVm vm(NetworkAddress address) {
		return this.vmsByAddress.get(address);
	}

	boolean usesDeltas() {
		return this.options.deltas();
	}

	FollowerSettings followerSettings() {
		return this.options.followerSettings();
	}

	long randomPeerDelayMillis() {
		return (this.maxPeerDelayMillis > 0) ? this.random.nextInt(this.maxPeerDelayMillis) : 0;
	}

	void setMaxPeerDelayMillis(int millis) {
		this.maxPeerDelayMillis = millis;
	}

	List<NetworkAddress> seedPeers(SimulatedVm vm) {
		int index = this.vms.indexOf(vm);
		List<NetworkAddress> seeds = new ArrayList<>();
		for (int step = 1; step <= SEED_PEER_COUNT; step++) {
			seeds.add(this.vms.get((index + step) % this.vms.size()).vm().peerAddress());
		}
		return seeds;
	}

	void disconnect(DataCentre dataCentre, boolean fromPeers, boolean fromPlatform) {
		if (fromPeers) {
			this.disconnectedFromPeers.add(dataCentre);
		}
		if (fromPlatform) {
			this.disconnectedFromPlatform.add(dataCentre);
			this.vms.stream()
				.filter((vm) -> vm.vm().dataCentre().equals(dataCentre))
				.forEach(SimulatedVm::onPlatformDisconnected);
		}
	}

	void reconnect(DataCentre dataCentre) {
		this.disconnectedFromPeers.remove(dataCentre);
		this.disconnectedFromPlatform.remove(dataCentre);
	}

	boolean canReachPlatform(SimulatedVm vm) {
		return !this.store.isDown() && !this.disconnectedFromPlatform.contains(vm.vm().dataCentre());
	}

	boolean canConnect(SimulatedVm one, SimulatedVm other) {
		DataCentre from = one.vm().dataCentre();
		DataCentre to = other.vm().dataCentre();
		return from.equals(to)
				|| (!this.disconnectedFromPeers.contains(from) && !this.disconnectedFromPeers.contains(to));
	}

	private void sendHeartbeats(SimulatedVm vm) {
		if (this.options.peerPropagation()) {
			vm.exchangeHeartbeat(this.vms.get(this.random.nextInt(this.vms.size())));
			schedule(HEARTBEAT_INTERVAL_MILLIS, () -> sendHeartbeats(vm));
		}
	}

	private void updateMembers() {
		for (SimulatedVm vm : this.vms) {
			List<Vm> alive = this.vms.stream()
				.filter((other) -> other.isResponsive() && canConnect(vm, other))
				.map(SimulatedVm::vm)
				.toList();
			schedule(MEMBERSHIP_UPDATE_MILLIS, () -> vm.onMembersChanged(alive));
		}
		schedule(MEMBERSHIP_UPDATE_MILLIS, this::updateMembers);
	}

	/**
	 * What is switched on. Thread safety: immutable.
	 *
	 * @param followerSettings how VMs follow the store
	 * @param peerPropagation whether VMs learn of versions from each other
	 * @param deltas whether VMs tell their peers which version they have
	 */
	record Options(FollowerSettings followerSettings, boolean peerPropagation, boolean deltas) {

		static final Options ALL_ENABLED = new Options(FollowerSettings.DEFAULT, true, true);

	}

}
