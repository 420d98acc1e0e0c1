package org.burdocktray.bench.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import org.burdocktray.connection.peer.generated.PeerEnvelope;
import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.model.Vm;
import org.burdocktray.process.membership.GossipTopic;
import org.burdocktray.process.membership.Membership;
import org.burdocktray.process.membership.MembershipSettings;
import org.burdocktray.process.membership.PeerAction;

/**
 * Simulates entry VMs and the network between them in virtual time. A message arrives
 * after a random delay, is lost if its sender and receiver are partitioned from each
 * other, and is queued while its receiver is paused. A request to a stopped VM fails
 * after two network delays; any other request without a reply fails at its timeout. The
 * same seed gives the same run. Thread safety: none.
 */
public final class VirtualFleet {

	private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	private static final long MIN_DELAY_NANOS = TimeUnit.MICROSECONDS.toNanos(200);

	private static final long MAX_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(2);

	private static final int PORT = 7400;

	private final VirtualClock clock = new VirtualClock();

	private final SplittableRandom random;

	private final MembershipSettings settings;

	private final TransportOverhead overhead;

	private final Map<NetworkAddress, VirtualVm> vmsByAddress = new HashMap<>();

	private final List<VirtualVm> startedVms = new ArrayList<>();

	private final Set<DataCentre> isolatedDataCentres = new HashSet<>();

	private int lastAddress;

	/**
	 * Creates a fleet without VMs.
	 * @param seed the seed of the random number generator
	 * @param settings the settings of all VMs
	 */
	public VirtualFleet(long seed, MembershipSettings settings) {
		this.random = new SplittableRandom(seed);
		this.settings = settings;
		this.overhead = new TransportOverhead();
	}

	/**
	 * Returns the clock; events occur only while the caller runs it.
	 * @return the virtual clock
	 */
	public VirtualClock clock() {
		return this.clock;
	}

	/**
	 * Lists all VMs that were started, including stopped ones.
	 * @return the VMs in the order of their start
	 */
	public List<VirtualVm> startedVms() {
		return this.startedVms;
	}

	/**
	 * Starts a VM.
	 * @param name the name of the VM
	 * @param dataCentre the data centre of the VM
	 * @param incarnation the first incarnation number
	 * @param topics the data that the VM propagates in addition to the members
	 * @return the running VM
	 */
	public VirtualVm start(String name, DataCentre dataCentre, long incarnation, List<GossipTopic> topics) {
		int host = ++this.lastAddress;
		NetworkAddress address = new NetworkAddress("10.20." + host / 250 + "." + (1 + host % 250), PORT);
		List<NetworkAddress> seeds = this.startedVms.stream().limit(3).map((seed) -> seed.vm().peerAddress()).toList();
		Vm vm = new Vm(name, dataCentre, address);
		Membership membership = new Membership(this.settings, vm, incarnation, seeds, topics, () -> 1,
				this.random.split(), this.clock.nowNanos());
		VirtualVm started = new VirtualVm(vm, membership);
		this.vmsByAddress.put(address, started);
		this.startedVms.add(started);
		this.clock.schedule(this.random.nextLong(TICK_NANOS), () -> tick(started));
		return started;
	}

	/**
	 * Starts VMs named {@code vm-0} onwards, round-robin over the data centres.
	 * @param count the number of VMs
	 * @param dataCentres the data centres
	 */
	public void startAll(int count, List<DataCentre> dataCentres) {
		for (int index = 0; index < count; index++) {
			start("vm-" + index, dataCentres.get(index % dataCentres.size()), 1, List.of());
		}
	}

	/**
	 * Stops a VM abruptly; it sends no message to the others.
	 * @param vm the VM
	 */
	public void kill(VirtualVm vm) {
		vm.stop();
	}

	/**
	 * Pauses a VM; its events are queued until it is resumed.
	 * @param vm the VM
	 */
	public void pause(VirtualVm vm) {
		vm.pause();
	}

	/**
	 * Resumes a paused VM and runs its queued events.
	 * @param vm the VM
	 */
	public void resume(VirtualVm vm) {
		vm.resume();
	}

	/**
	 * Partitions a data centre from all others.
	 * @param dataCentre the data centre
	 */
	public void isolate(DataCentre dataCentre) {
		this.isolatedDataCentres.add(dataCentre);
	}

	/**
	 * Removes all partitions.
	 */
	public void healPartitions() {
		this.isolatedDataCentres.clear();
	}

	/**
	 * Performs the actions that a VM's membership returned.
	 * @param from the VM
	 * @param actions the actions
	 */
	public void perform(VirtualVm from, List<PeerAction> actions) {
		for (PeerAction action : actions) {
			if (action instanceof PeerAction.Request request) {
				send(from, request);
			}
			else if (action instanceof PeerAction.Reply reply) {
				from.deliverReply(reply);
			}
		}
	}

	/**
	 * Returns whether messages between two VMs arrive.
	 * @param from the sender
	 * @param to the receiver
	 * @return whether no partition separates the data centres of the VMs
	 */
	public boolean isConnected(VirtualVm from, VirtualVm to) {
		DataCentre first = from.vm().dataCentre();
		DataCentre second = to.vm().dataCentre();
		return first.equals(second)
				|| (!this.isolatedDataCentres.contains(first) && !this.isolatedDataCentres.contains(second));
	}

	/**
	 * Returns whether a VM's data centre is partitioned from all others.
	 * @param vm the VM
	 * @return whether the data centre is isolated
	 */
	public boolean isIsolated(VirtualVm vm) {
		return this.isolatedDataCentres.contains(vm.vm().dataCentre());
	}

	private void tick(VirtualVm vm) {
		if (!vm.isRunning()) {
			return;
		}
		this.clock.schedule(TICK_NANOS, () -> tick(vm));
		if (vm.isResponsive()) {
			perform(vm, vm.membership().tick(this.clock.nowNanos()));
		}
	}

	private void send(VirtualVm from, PeerAction.Request request) {
		AtomicBoolean completed = new AtomicBoolean();
		this.clock.schedule(TimeUnit.MILLISECONDS.toNanos(request.timeoutMillis()),
				() -> fail(from, request.token(), completed));
		VirtualVm to = this.vmsByAddress.get(request.peer());
		if (to == null) {
			return;
		}
		long bytes = this.overhead.requestBytes(this.clock.nowNanos(), from.vm(), to.vm(), request.envelope());
		from.recordSent(bytes);
		if (!isConnected(from, to)) {
			return;
		}
		this.clock.schedule(delayNanos(), () -> deliver(from, to, request, bytes, completed));
	}

	private void deliver(VirtualVm from, VirtualVm to, PeerAction.Request request, long bytes,
			AtomicBoolean completed) {
		if (!to.isRunning()) {
			this.clock.schedule(delayNanos(), () -> fail(from, request.token(), completed));
			return;
		}
		to.recordReceived(bytes);
		to.handleEvent(() -> perform(to, to.handleRequest(request.envelope(), this.clock.nowNanos(),
				(reply) -> sendReply(to, from, request.token(), reply, completed))));
	}

	private void sendReply(VirtualVm from, VirtualVm to, long token, PeerEnvelope reply, AtomicBoolean completed) {
		long bytes = this.overhead.replyBytes(reply);
		from.recordSent(bytes);
		if (!isConnected(from, to)) {
			return;
		}
		this.clock.schedule(delayNanos(), () -> to.handleEvent(() -> {
			to.recordReceived(bytes);
			if (completed.compareAndSet(false, true)) {
				perform(to, to.membership().onReply(token, reply, this.clock.nowNanos()));
			}
		}));
	}

	private void fail(VirtualVm from, long token, AtomicBoolean completed) {
		from.handleEvent(() -> {
			if (completed.compareAndSet(false, true)) {
				perform(from, from.membership().onFailure(token, this.clock.nowNanos()));
			}
		});
	}

	private long delayNanos() {
		return this.random.nextLong(MIN_DELAY_NANOS, MAX_DELAY_NANOS);
	}

}
