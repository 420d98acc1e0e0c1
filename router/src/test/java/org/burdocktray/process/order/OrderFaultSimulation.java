package org.burdocktray.process.order;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.burdocktray.connection.engine.DesiredState;
import org.burdocktray.connection.engine.EngineOrder;
import org.burdocktray.connection.engine.OrderFailure;
import org.burdocktray.connection.platform.StoreError;
import org.burdocktray.connection.platform.StoreRevision;
import org.burdocktray.connection.platform.StoredObject;
import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.version.bundle.Engine;

/**
 * Simulates one seeded schedule of faults in virtual time: three VMs, four engines of
 * which two check fencing numbers, and a store with lost and delayed writes and an
 * outage. Thread safety: none; used by one test.
 */
final class OrderFaultSimulation {

	static final OrderSettings WITH_MARGIN = new OrderSettings(6_000, 2_000, 2_000, 1_000, 1_000, 2_000, 20_000);

	static final OrderSettings NO_MARGIN = new OrderSettings(6_000, 0, 2_000, 1_000, 1_000, 2_000, 20_000);

	private static final long FAULTS_END_MILLIS = 90_000;

	private static final long END_MILLIS = 180_000;

	static final long ORDER_TIMEOUT_MILLIS = WITH_MARGIN.orderTimeoutMillis();

	private static final int VMS = 3;

	private final PriorityQueue<Task> tasks = new PriorityQueue<>();

	private final List<SimulatedVm> vms = new ArrayList<>();

	private final List<SimulatedEngine> engines = new ArrayList<>();

	private final Random random;

	final OrderSettings settings;

	final boolean checksBeforeSending;

	final boolean unprovableFaults;

	Optional<StoredObject> lease = Optional.empty();

	private long storeVersion = 100;

	boolean outage;

	// The ordinal number of the tenure that wrote each version of the lease.
	private final Map<Long, Integer> tenureByLeaseVersion = new HashMap<>();

	private int tenure;

	private int newestBundle = 1;

	long nowNanos;

	private long taskCount;

	private final Map<OrderFinding, Long> findings = new EnumMap<>(OrderFinding.class);

	/**
	 * Creates a simulation.
	 * @param seed the seed
	 * @param settings the intervals and timeouts, with or without a margin for the order
	 * timeout
	 * @param checksBeforeSending whether the deadline of an order is checked immediately
	 * before sending
	 * @param unprovableFaults whether VMs are paused between the check and sending, and
	 * packets are delivered after the order timeout; the protocol does not cover these
	 * faults
	 */
	OrderFaultSimulation(long seed, OrderSettings settings, boolean checksBeforeSending, boolean unprovableFaults) {
		this.random = new Random(seed);
		this.settings = settings;
		this.checksBeforeSending = checksBeforeSending;
		this.unprovableFaults = unprovableFaults;
		IntStream.range(0, 4).forEach((index) -> this.engines.add(new SimulatedEngine(index)));
		IntStream.range(0, VMS).forEach((index) -> this.vms.add(new SimulatedVm(this, "vm" + index)));
	}

	Map<OrderFinding, Long> run() {
		for (long atMillis = 8_000; atMillis < FAULTS_END_MILLIS; atMillis += 3_000 + this.random.nextInt(9_000)) {
			scheduleAt(atMillis, this::changeBundle);
		}
		for (long atMillis = 5_000; atMillis < FAULTS_END_MILLIS; atMillis += 2_000 + this.random.nextInt(12_000)) {
			scheduleAt(atMillis, this::startFault);
		}
		long outageMillis = 10_000 + this.random.nextInt(60_000);
		scheduleAt(outageMillis, () -> setOutage(true));
		scheduleAt(outageMillis + this.random.nextInt(15_000), () -> setOutage(false));
		this.vms.forEach((vm) -> vm.offer(new OrderEvent.BundleChanged(targets(1))));
		while (!this.tasks.isEmpty() && this.tasks.peek().atNanos() <= millisToNanos(END_MILLIS)) {
			Task task = this.tasks.remove();
			this.nowNanos = task.atNanos();
			task.action().run();
		}
		this.engines.stream()
			.filter((engine) -> !engine.state.equals(desiredState(this.newestBundle)))
			.forEach((engine) -> count(OrderFinding.UNCONVERGED));
		return this.findings;
	}

	private void setOutage(boolean on) {
		this.outage = on;
	}

	private void changeBundle() {
		int version = ++this.newestBundle;
		this.vms.forEach((vm) -> scheduleAfter(this.random.nextInt(3_000), () -> vm.offerBundle(version)));
	}

	private void startFault() {
		SimulatedVm vm = this.vms.get(this.random.nextInt(VMS));
		switch (this.random.nextInt(4)) {
			case 0 -> vm.pause();
			case 1 -> vm.pauseAt(SimulatedVm.PausePoint.BEFORE_CHECK);
			case 2 -> vm.pauseAt(
					(this.unprovableFaults) ? SimulatedVm.PausePoint.AFTER_CHECK : SimulatedVm.PausePoint.BEFORE_CHECK);
			default -> vm.restart();
		}
	}

	private static DesiredState desiredState(int version) {
		// Every second bundle changes only an adapter, which the load report does not
		// contain.
		return new DesiredState("panel-7b", "v" + version / 2, List.of("a" + version), 0, 12, DesiredState.DECODE);
	}

	List<OrderTarget> targets(int version) {
		return this.engines.stream().map((engine) -> new OrderTarget(engine.entry, desiredState(version))).toList();
	}

	SimulatedEngine engine(Engine entry) {
		return this.engines.stream().filter((engine) -> engine.entry.equals(entry)).findFirst().orElseThrow();
	}

	int random(int bound) {
		return this.random.nextInt(bound);
	}

	void count(OrderFinding finding) {
		this.findings.merge(finding, 1L, Long::sum);
	}

	private void scheduleAt(long atMillis, Runnable action) {
		this.tasks.add(new Task(millisToNanos(atMillis), this.taskCount++, action));
	}

	void scheduleAfter(long delayMillis, Runnable action) {
		this.tasks.add(new Task(this.nowNanos + millisToNanos(delayMillis), this.taskCount++, action));
	}

	boolean areFaultsEnabled() {
		return this.nowNanos < millisToNanos(FAULTS_END_MILLIS);
	}

	private static long millisToNanos(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

	OrderEvent applyWrite(OrderAction.WriteLease write) {
		Optional<StoreRevision> current = this.lease.map(StoredObject::version);
		if (!current.equals(write.expectedVersion())) {
			return new OrderEvent.LeaseWriteFailed(StoreError.CONFLICT);
		}
		this.storeVersion += 1 + this.random.nextInt(3);
		Optional<String> earlier = storedHolder();
		this.lease = Optional.of(new StoredObject("lease", this.storeVersion, write.value()));
		if (!storedHolder().equals(earlier)) {
			this.tenure++;
			count(OrderFinding.TAKEOVER);
		}
		this.tenureByLeaseVersion.put(this.storeVersion, this.tenure);
		return new OrderEvent.LeaseWritten(this.lease.get());
	}

	private Optional<String> storedHolder() {
		return this.lease.map((object) -> OrderLease.of(object, 0).holder());
	}

	private record Task(long atNanos, long number, Runnable action) implements Comparable<Task> {

		@Override
		public int compareTo(Task other) {
			int byTime = Long.compare(this.atNanos, other.atNanos);
			return (byTime != 0) ? byTime : Long.compare(this.number, other.number);
		}

	}

	/**
	 * Engine that either checks fencing numbers or accepts every order.
	 */
	final class SimulatedEngine {

		private final Engine entry;

		private long highestNumber;

		private int highestTenure;

		DesiredState state = desiredState(0);

		SimulatedEngine(int index) {
			this.entry = new Engine("e" + index, new DataCentre("ghent"), new NetworkAddress("127.0.0.1", 9000 + index),
					"panel-7b", 0, 12, "a", 100, 8, List.of(), index % 2 == 0);
		}

		OrderEvent accept(EngineOrder order, boolean unprovable) {
			if (this.entry.checksFencing() && order.fencingNumber() < this.highestNumber) {
				OrderFaultSimulation.this.count(OrderFinding.FENCED);
				return new OrderEvent.OrderFailed(this.entry.name(), OrderFailure.FENCED);
			}
			countOrdersOfFormerHolders(OrderFaultSimulation.this.tenureByLeaseVersion.get(order.fencingNumber()),
					unprovable);
			this.highestNumber = Math.max(this.highestNumber, order.fencingNumber());
			this.state = order.desired();
			OrderFaultSimulation.this.count(OrderFinding.TAKEN);
			return new OrderEvent.OrderAccepted(this.entry.name());
		}

		private void countOrdersOfFormerHolders(int tenure, boolean unprovable) {
			if (tenure < this.highestTenure) {
				OrderFaultSimulation.this.count((this.entry.checksFencing()) ? OrderFinding.OLDER_AFTER_NEWER_CHECKED
						: OrderFinding.OLDER_AFTER_NEWER_IGNORED);
			}
			this.highestTenure = Math.max(this.highestTenure, tenure);
			if (tenure < OrderFaultSimulation.this.tenure && !this.entry.checksFencing()) {
				OrderFaultSimulation.this.count((unprovable) ? OrderFinding.LATE_UNPROVABLE : OrderFinding.LATE);
			}
		}

	}

}
