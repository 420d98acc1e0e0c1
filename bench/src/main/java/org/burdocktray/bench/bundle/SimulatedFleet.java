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
 * A fleet of VMs with a simulated store, in virtual time. Data centres can be
 * disconnected from each other and from the store. The membership views of the VMs lag
 * behind the actual reachability. Thread safety: one thread.
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

	SimulatedFleet(int vmCount, int dataCentres, long seed, SigningFixture signing, Options options,
			Consumer<StoredObject> writeListener) {
		this.random = new Random(seed);
		this.signing = signing;
		this.options = options;
		this.store = new SimulatedStore(this.scheduler, this.random, writeListener);
		for (int index = 0; index < vmCount; index++) {
			Vm vm = new Vm("vm" + index, new DataCentre("dc" + index % dataCentres),
					new NetworkAddress("10.0." + index / VMS_PER_SUBNET + "." + (index % VMS_PER_SUBNET + 1), 7070));
			SimulatedVm simulatedVm = new SimulatedVm(this, vm);
			this.vms.add(simulatedVm);
			this.vmsByAddress.put(vm.peerAddress(), simulatedVm);
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
		List<NetworkAddress> addresses = new ArrayList<>();
		for (int offset = 1; offset <= SEED_PEER_COUNT; offset++) {
			addresses.add(this.vms.get((index + offset) % this.vms.size()).vm().peerAddress());
		}
		return addresses;
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

	boolean canConnect(SimulatedVm source, SimulatedVm target) {
		DataCentre from = source.vm().dataCentre();
		DataCentre to = target.vm().dataCentre();
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
			List<Vm> reachableVms = this.vms.stream()
				.filter((peer) -> peer.isResponsive() && canConnect(vm, peer))
				.map(SimulatedVm::vm)
				.toList();
			schedule(MEMBERSHIP_UPDATE_MILLIS, () -> vm.onMembersChanged(reachableVms));
		}
		schedule(MEMBERSHIP_UPDATE_MILLIS, this::updateMembers);
	}

	/**
	 * The enabled mechanisms. Thread safety: immutable.
	 *
	 * @param followerSettings how VMs follow the store
	 * @param peerPropagation whether VMs exchange their versions in heartbeats
	 * @param deltas whether VMs include their version in requests to peers, which can
	 * then reply with a delta
	 */
	record Options(FollowerSettings followerSettings, boolean peerPropagation, boolean deltas) {

		static final Options ALL_ENABLED = new Options(FollowerSettings.DEFAULT, true, true);

	}

}
