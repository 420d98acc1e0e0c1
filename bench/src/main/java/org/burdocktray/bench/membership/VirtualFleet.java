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
 * Entry VMs that talk to each other over a network in virtual time. A message takes a
 * random delay, is lost when the data centres of its ends are cut from each other, waits
 * when its receiver is paused, and fails fast or by its timeout when the receiver is
 * gone. The same seed gives the same run. Thread safety: none.
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
	 * @param seed the seed of all random choices
	 * @param settings the settings of all VMs
	 */
	public VirtualFleet(long seed, MembershipSettings settings) {
		this.random = new SplittableRandom(seed);
		this.settings = settings;
		this.overhead = new TransportOverhead();
	}

	/**
	 * Returns the clock, which has to be run.
	 * @return the clock
	 */
	public VirtualClock clock() {
		return this.clock;
	}

	/**
	 * Lists the VMs that were started, stopped ones included.
	 * @return the VMs in the order of their start
	 */
	public List<VirtualVm> startedVms() {
		return this.startedVms;
	}

	/**
	 * Starts a VM.
	 * @param name its name
	 * @param dataCentre its data centre
	 * @param incarnation its first incarnation
	 * @param topics the data it spreads beside the members
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
	 * Starts VMs in turn in the data centres and lets them find each other.
	 * @param count how many
	 * @param dataCentres the data centres
	 */
	public void startAll(int count, List<DataCentre> dataCentres) {
		for (int index = 0; index < count; index++) {
			start("vm-" + index, dataCentres.get(index % dataCentres.size()), 1, List.of());
		}
	}

	/**
	 * Ends a VM without notice.
	 * @param vm the VM
	 */
	public void kill(VirtualVm vm) {
		vm.stop();
	}

	/**
	 * Stops a VM from running until it is resumed.
	 * @param vm the VM
	 */
	public void pause(VirtualVm vm) {
		vm.pause();
	}

	/**
	 * Lets a paused VM go on.
	 * @param vm the VM
	 */
	public void resume(VirtualVm vm) {
		vm.resume();
	}

	/**
	 * Cuts a data centre off from all others.
	 * @param dataCentre the data centre
	 */
	public void isolate(DataCentre dataCentre) {
		this.isolatedDataCentres.add(dataCentre);
	}

	/**
	 * Ends all cuts.
	 */
	public void healPartitions() {
		this.isolatedDataCentres.clear();
	}

	/**
	 * Carries out what a VM's membership wants done.
	 * @param from the VM
	 * @param actions the actions
	 */
	public void perform(VirtualVm from, List<PeerAction> actions) {
		for (PeerAction action : actions) {
			if (action instanceof PeerAction.Request request) {
				send(from, request);
			}
			else if (action instanceof PeerAction.Reply reply) {
				from.reply(reply);
			}
		}
	}

	/**
	 * Whether messages between two VMs arrive.
	 * @param from the sender
	 * @param to the receiver
	 * @return false when a cut lies between them
	 */
	public boolean isConnected(VirtualVm from, VirtualVm to) {
		DataCentre first = from.vm().dataCentre();
		DataCentre second = to.vm().dataCentre();
		return first.equals(second)
				|| (!this.isolatedDataCentres.contains(first) && !this.isolatedDataCentres.contains(second));
	}

	/**
	 * Whether a VM's data centre is cut off from all others.
	 * @param vm the VM
	 * @return true until the cut heals
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
		AtomicBoolean resolved = new AtomicBoolean();
		this.clock.schedule(TimeUnit.MILLISECONDS.toNanos(request.timeoutMillis()),
				() -> fail(from, request.token(), resolved));
		VirtualVm to = this.vmsByAddress.get(request.peer());
		if (to == null) {
			return;
		}
		long bytes = this.overhead.requestBytes(this.clock.nowNanos(), from.vm(), to.vm(), request.envelope());
		from.countSent(bytes);
		if (!isConnected(from, to)) {
			return;
		}
		this.clock.schedule(delayNanos(), () -> arrive(from, to, request, bytes, resolved));
	}

	private void arrive(VirtualVm from, VirtualVm to, PeerAction.Request request, long bytes, AtomicBoolean resolved) {
		if (!to.isRunning()) {
			this.clock.schedule(delayNanos(), () -> fail(from, request.token(), resolved));
			return;
		}
		to.countReceived(bytes);
		to.handle(() -> perform(to, to.receive(request.envelope(), this.clock.nowNanos(),
				(reply) -> sendReply(to, from, request.token(), reply, resolved))));
	}

	private void sendReply(VirtualVm from, VirtualVm to, long token, PeerEnvelope reply, AtomicBoolean resolved) {
		long bytes = this.overhead.replyBytes(reply);
		from.countSent(bytes);
		if (!isConnected(from, to)) {
			return;
		}
		this.clock.schedule(delayNanos(), () -> to.handle(() -> {
			to.countReceived(bytes);
			if (resolved.compareAndSet(false, true)) {
				perform(to, to.membership().onReply(token, reply, this.clock.nowNanos()));
			}
		}));
	}

	private void fail(VirtualVm from, long token, AtomicBoolean resolved) {
		from.handle(() -> {
			if (resolved.compareAndSet(false, true)) {
				perform(from, from.membership().onFailure(token, this.clock.nowNanos()));
			}
		});
	}

	private long delayNanos() {
		return this.random.nextLong(MIN_DELAY_NANOS, MAX_DELAY_NANOS);
	}

}
