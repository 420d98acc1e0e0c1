package org.burdocktray.bench.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.burdocktray.model.DataCentre;
import org.burdocktray.process.load.ListedUpstream;
import org.burdocktray.process.load.UpstreamDrain;
import org.burdocktray.process.membership.MembershipSettings;

/**
 * Simulates an upstream that leaves, in virtual time, and records when each VM sends work
 * to it. Every VM starts work at the upstream at a fixed rate until its local view marks
 * the upstream as leaving. Every VM reads the platform's list every 5 s; the list shows
 * the state of 2 to 10 s ago. Thread safety: none.
 */
public final class DrainSession {

	/** The data centres of the entry VMs. */
	public static final List<DataCentre> DATA_CENTRES = List.of(new DataCentre("ghent"), new DataCentre("leuven"),
			new DataCentre("namur"));

	private static final String UPSTREAM = "engine-3";

	private static final long JOIN_DURATION_MILLIS = 20_000;

	private static final long WORK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private static final long LIST_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

	private static final long MIN_LIST_LAG_MILLIS = 2_000;

	private static final long MAX_LIST_LAG_MILLIS = 10_000;

	private final DrainScenario scenario;

	private final SplittableRandom random;

	private final VirtualFleet fleet;

	private final Map<VirtualVm, UpstreamDrain> drains = new HashMap<>();

	private final Map<VirtualVm, Boolean> sentWorkLast = new HashMap<>();

	private final Map<VirtualVm, Long> firstIndicationNanos = new HashMap<>();

	private final Map<VirtualVm, Long> lastStartNanos = new HashMap<>();

	private final List<String> lines = new ArrayList<>();

	private long leavingStartedNanos = Long.MAX_VALUE;

	private long replacedAtNanos = Long.MAX_VALUE;

	/**
	 * Creates a session that has not run yet.
	 * @param scenario the fleet and the events of the run
	 */
	public DrainSession(DrainScenario scenario) {
		this.scenario = scenario;
		this.random = new SplittableRandom(scenario.seed());
		this.fleet = new VirtualFleet(scenario.seed(), MembershipSettings.defaults());
	}

	/**
	 * Starts the VMs, waits until they have joined and starts the upstream's leaving.
	 * @param millisAfterLeaving the virtual time to run after the upstream starts to
	 * leave
	 */
	public void run(long millisAfterLeaving) {
		for (int index = 0; index < this.scenario.vms(); index++) {
			startVm(index);
		}
		this.fleet.clock().runForMillis(JOIN_DURATION_MILLIS);
		this.scenario.isolatedDataCentre().ifPresent(this.fleet::isolate);
		this.leavingStartedNanos = this.fleet.clock().nowNanos();
		log("upstream " + UPSTREAM + " begins to leave");
		this.scenario.isolatedDataCentre()
			.ifPresent((dataCentre) -> log("network  " + dataCentre + " is cut off from the others"));
		if (this.scenario.firstIndication() != DrainScenario.FirstIndication.LIST) {
			this.fleet.clock().schedule(TimeUnit.MILLISECONDS.toNanos(500), this::deliverFirstIndication);
		}
		if (this.scenario.isolatedDataCentre().isPresent() && this.scenario.healDelayMillis() < millisAfterLeaving) {
			this.fleet.clock().schedule(TimeUnit.MILLISECONDS.toNanos(this.scenario.healDelayMillis()), this::heal);
		}
		this.fleet.clock().runForMillis(millisAfterLeaving);
	}

	/**
	 * Replaces the upstream by a new one of the same name.
	 * @param millis the virtual time to run afterwards
	 */
	public void replaceUpstream(long millis) {
		this.replacedAtNanos = this.fleet.clock().nowNanos();
		log("upstream " + UPSTREAM + " is replaced under the same name");
		this.fleet.clock().runForMillis(millis);
	}

	/**
	 * Returns the event log of the session, with one event per line.
	 * @return the lines in the order of the events
	 */
	public List<String> lines() {
		return this.lines;
	}

	/**
	 * Returns how long VMs kept sending new work to the upstream after the first
	 * indication. An indication in another partition counts from the time at which the
	 * partition heals.
	 * @return the maximum over all VMs in nanoseconds, 0 if no VM sent work after that
	 */
	public long maxStartDelayAfterIndicationNanos() {
		return this.fleet.startedVms().stream().mapToLong(this::startDelayAfterIndicationNanos).max().orElse(0);
	}

	/**
	 * Returns how long VMs kept sending new work to the upstream after it started to
	 * leave.
	 * @return the maximum over all VMs in nanoseconds, 0 if no VM sent work after that
	 */
	public long maxStartDelayAfterLeavingNanos() {
		return this.lastStartNanos.values()
			.stream()
			.mapToLong((start) -> start - this.leavingStartedNanos)
			.max()
			.orElse(0);
	}

	/**
	 * Returns whether all VMs may send new work to the upstream.
	 * @return whether no VM's local view marks the upstream as leaving
	 */
	public boolean isUsedByAllVms() {
		return this.drains.values().stream().noneMatch((drain) -> drain.isLeaving(UPSTREAM));
	}

	private long startDelayAfterIndicationNanos(VirtualVm vm) {
		long healNanos = this.leavingStartedNanos + TimeUnit.MILLISECONDS.toNanos(this.scenario.healDelayMillis());
		long earliestDeliveryNanos = this.firstIndicationNanos.entrySet()
			.stream()
			.mapToLong((indication) -> isSamePartition(indication.getKey(), vm) ? indication.getValue()
					: Math.max(indication.getValue(), healNanos))
			.min()
			.orElse(Long.MAX_VALUE);
		long lastStart = this.lastStartNanos.getOrDefault(vm, 0L);
		return (lastStart > earliestDeliveryNanos) ? lastStart - earliestDeliveryNanos : 0;
	}

	private boolean isSamePartition(VirtualVm first, VirtualVm second) {
		return this.scenario.isolatedDataCentre()
			.map((isolated) -> first.vm().dataCentre().equals(isolated) == second.vm().dataCentre().equals(isolated))
			.orElse(true);
	}

	private void startVm(int index) {
		UpstreamDrain drain = new UpstreamDrain();
		VirtualVm vm = this.fleet.start("vm-" + index, DATA_CENTRES.get(index % DATA_CENTRES.size()), 1,
				this.scenario.gossip() ? List.of(drain) : List.of());
		this.drains.put(vm, drain);
		this.fleet.clock().schedule(this.random.nextLong(WORK_INTERVAL_NANOS), () -> startWork(vm));
		this.fleet.clock().schedule(this.random.nextLong(LIST_INTERVAL_NANOS), () -> readList(vm));
	}

	private void startWork(VirtualVm vm) {
		this.fleet.clock().schedule(WORK_INTERVAL_NANOS, () -> startWork(vm));
		boolean sendsWork = !this.drains.get(vm).isLeaving(UPSTREAM);
		long nowNanos = this.fleet.clock().nowNanos();
		if (sendsWork && nowNanos >= this.leavingStartedNanos && nowNanos < this.replacedAtNanos) {
			this.lastStartNanos.put(vm, nowNanos);
		}
		Boolean sentBefore = this.sentWorkLast.put(vm, sendsWork);
		if (sentBefore == null || sentBefore == sendsWork || this.leavingStartedNanos == Long.MAX_VALUE) {
			return;
		}
		log(formatVm(vm) + (sendsWork ? "starts work at " : "starts no more work at ") + UPSTREAM);
	}

	private void readList(VirtualVm vm) {
		this.fleet.clock().schedule(LIST_INTERVAL_NANOS, () -> readList(vm));
		if (this.fleet.isIsolated(vm)) {
			return;
		}
		long listLagNanos = TimeUnit.MILLISECONDS
			.toNanos(this.random.nextLong(MIN_LIST_LAG_MILLIS, MAX_LIST_LAG_MILLIS));
		long snapshotNanos = this.fleet.clock().nowNanos() - listLagNanos;
		boolean leaving = snapshotNanos >= this.leavingStartedNanos && snapshotNanos < this.replacedAtNanos;
		if (leaving) {
			recordIndication(vm, "the list");
		}
		this.drains.get(vm)
			.onPlatformList(List.of(new ListedUpstream(UPSTREAM, leaving)), this.fleet.clock().nowNanos());
		propagate(vm);
	}

	private void deliverFirstIndication() {
		VirtualVm vm = this.fleet.startedVms().get(this.random.nextInt(this.fleet.startedVms().size()));
		long nowNanos = this.fleet.clock().nowNanos();
		if (this.scenario.firstIndication() == DrainScenario.FirstIndication.REFUSAL) {
			recordIndication(vm, "a refusal");
			this.drains.get(vm).onLeavingRefusal(UPSTREAM, nowNanos);
		}
		else {
			recordIndication(vm, "a load report");
			this.drains.get(vm).onLoadReport(UPSTREAM, true, nowNanos - 1, nowNanos);
		}
		propagate(vm);
	}

	private void propagate(VirtualVm vm) {
		this.fleet.perform(vm, vm.membership().propagateLocalChanges(this.fleet.clock().nowNanos()));
	}

	private void heal() {
		this.fleet.healPartitions();
		log("network  the cut heals");
	}

	private void recordIndication(VirtualVm vm, String source) {
		if (this.firstIndicationNanos.putIfAbsent(vm, this.fleet.clock().nowNanos()) == null) {
			log(formatVm(vm) + "hears from " + source + " that " + UPSTREAM + " is leaving");
		}
	}

	private static String formatVm(VirtualVm vm) {
		return String.format(Locale.ROOT, "%-8s (%s) ", vm.vm().name(), vm.vm().dataCentre());
	}

	private void log(String event) {
		double seconds = (this.fleet.clock().nowNanos() - this.leavingStartedNanos) / 1e9;
		this.lines.add(String.format(Locale.ROOT, "%8.3f s  %s", seconds, event));
	}

}
