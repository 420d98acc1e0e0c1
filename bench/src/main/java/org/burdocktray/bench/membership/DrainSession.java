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
 * Runs one upstream's leaving in virtual time and keeps what each VM did. All VMs start
 * work at the upstream at a steady pace while they may. Each reads the platform's list
 * every few seconds, and the list shows the past. Thread safety: none.
 */
public final class DrainSession {

	/** The data centres of the entry VMs. */
	public static final List<DataCentre> DATA_CENTRES = List.of(new DataCentre("ghent"), new DataCentre("leuven"),
			new DataCentre("namur"));

	private static final String UPSTREAM = "engine-3";

	private static final long JOIN_MILLIS = 20_000;

	private static final long WORK_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private static final long LIST_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(5);

	private static final long MIN_LAG_MILLIS = 2_000;

	private static final long MAX_LAG_MILLIS = 10_000;

	private final DrainScenario scenario;

	private final SplittableRandom random;

	private final VirtualFleet fleet;

	private final Map<VirtualVm, UpstreamDrain> drains = new HashMap<>();

	private final Map<VirtualVm, Boolean> lastWorked = new HashMap<>();

	private final Map<VirtualVm, Long> firstSignNanos = new HashMap<>();

	private final Map<VirtualVm, Long> lastStartNanos = new HashMap<>();

	private final List<String> lines = new ArrayList<>();

	private long leavesAtNanos = Long.MAX_VALUE;

	private long returnsAtNanos = Long.MAX_VALUE;

	/**
	 * Prepares a run.
	 * @param scenario what happens
	 */
	public DrainSession(DrainScenario scenario) {
		this.scenario = scenario;
		this.random = new SplittableRandom(scenario.seed());
		this.fleet = new VirtualFleet(scenario.seed(), MembershipSettings.defaults());
	}

	/**
	 * Starts the VMs, lets them join and lets the upstream leave.
	 * @param millisAfterLeaving how long to go on after it began to leave
	 */
	public void run(long millisAfterLeaving) {
		for (int index = 0; index < this.scenario.vms(); index++) {
			startVm(index);
		}
		this.fleet.clock().runForMillis(JOIN_MILLIS);
		this.scenario.isolatedDataCentre().ifPresent(this.fleet::isolate);
		this.leavesAtNanos = this.fleet.clock().nowNanos();
		log("upstream " + UPSTREAM + " begins to leave");
		this.scenario.isolatedDataCentre()
			.ifPresent((dataCentre) -> log("network  " + dataCentre + " is cut off from the others"));
		if (this.scenario.firstIndication() != DrainScenario.FirstIndication.LIST) {
			this.fleet.clock().schedule(TimeUnit.MILLISECONDS.toNanos(500), this::signFromUpstream);
		}
		if (this.scenario.isolatedDataCentre().isPresent() && this.scenario.healDelayMillis() < millisAfterLeaving) {
			this.fleet.clock().schedule(TimeUnit.MILLISECONDS.toNanos(this.scenario.healDelayMillis()), this::heal);
		}
		this.fleet.clock().runForMillis(millisAfterLeaving);
	}

	/**
	 * Lets a new upstream start under the same name.
	 * @param millis how long to go on
	 */
	public void replaceUpstream(long millis) {
		this.returnsAtNanos = this.fleet.clock().nowNanos();
		log("upstream " + UPSTREAM + " is replaced under the same name");
		this.fleet.clock().runForMillis(millis);
	}

	/**
	 * Returns the session as text, one event a line.
	 * @return the lines
	 */
	public List<String> lines() {
		return this.lines;
	}

	/**
	 * How long new work went to the upstream after the first sign had reached a VM that
	 * the working VM was connected to, or after their cut healed.
	 * @return the longest such time over all VMs, 0 when there is none
	 */
	public long maxStartDelayAfterIndicationNanos() {
		return this.fleet.startedVms().stream().mapToLong(this::maxStartDelayAfterIndicationNanos).max().orElse(0);
	}

	/**
	 * How long new work went to the upstream after it had begun to leave.
	 * @return the longest such time over all VMs
	 */
	public long maxStartDelayAfterLeavingNanos() {
		return this.lastStartNanos.values().stream().mapToLong((start) -> start - this.leavesAtNanos).max().orElse(0);
	}

	/**
	 * Whether all VMs send new work to the upstream.
	 * @return true when no VM believes that it is leaving
	 */
	public boolean isUsedByAllVms() {
		return this.drains.values().stream().noneMatch((drain) -> drain.isLeaving(UPSTREAM));
	}

	private long maxStartDelayAfterIndicationNanos(VirtualVm vm) {
		long healedAtNanos = this.leavesAtNanos + TimeUnit.MILLISECONDS.toNanos(this.scenario.healDelayMillis());
		long knowableNanos = this.firstSignNanos.entrySet()
			.stream()
			.mapToLong((sign) -> isWithinOneSide(sign.getKey(), vm) ? sign.getValue()
					: Math.max(sign.getValue(), healedAtNanos))
			.min()
			.orElse(Long.MAX_VALUE);
		long lastStart = this.lastStartNanos.getOrDefault(vm, 0L);
		return (lastStart > knowableNanos) ? lastStart - knowableNanos : 0;
	}

	private boolean isWithinOneSide(VirtualVm first, VirtualVm second) {
		return this.scenario.isolatedDataCentre()
			.map((cut) -> first.vm().dataCentre().equals(cut) == second.vm().dataCentre().equals(cut))
			.orElse(true);
	}

	private void startVm(int index) {
		UpstreamDrain drain = new UpstreamDrain();
		VirtualVm vm = this.fleet.start("vm-" + index, DATA_CENTRES.get(index % DATA_CENTRES.size()), 1,
				this.scenario.gossip() ? List.of(drain) : List.of());
		this.drains.put(vm, drain);
		this.fleet.clock().schedule(this.random.nextLong(WORK_PERIOD_NANOS), () -> work(vm));
		this.fleet.clock().schedule(this.random.nextLong(LIST_PERIOD_NANOS), () -> readList(vm));
	}

	private void work(VirtualVm vm) {
		this.fleet.clock().schedule(WORK_PERIOD_NANOS, () -> work(vm));
		boolean works = !this.drains.get(vm).isLeaving(UPSTREAM);
		long nowNanos = this.fleet.clock().nowNanos();
		if (works && nowNanos >= this.leavesAtNanos && nowNanos < this.returnsAtNanos) {
			this.lastStartNanos.put(vm, nowNanos);
		}
		Boolean before = this.lastWorked.put(vm, works);
		if (before == null || before == works || this.leavesAtNanos == Long.MAX_VALUE) {
			return;
		}
		log(name(vm) + (works ? "starts work at " : "starts no more work at ") + UPSTREAM);
	}

	private void readList(VirtualVm vm) {
		this.fleet.clock().schedule(LIST_PERIOD_NANOS, () -> readList(vm));
		if (this.fleet.isIsolated(vm)) {
			return;
		}
		long lagNanos = TimeUnit.MILLISECONDS.toNanos(this.random.nextLong(MIN_LAG_MILLIS, MAX_LAG_MILLIS));
		long shownNanos = this.fleet.clock().nowNanos() - lagNanos;
		boolean leaving = shownNanos >= this.leavesAtNanos && shownNanos < this.returnsAtNanos;
		if (leaving) {
			noteSign(vm, "the list");
		}
		this.drains.get(vm)
			.onPlatformList(List.of(new ListedUpstream(UPSTREAM, leaving)), this.fleet.clock().nowNanos());
		spread(vm);
	}

	private void signFromUpstream() {
		VirtualVm vm = this.fleet.startedVms().get(this.random.nextInt(this.fleet.startedVms().size()));
		long nowNanos = this.fleet.clock().nowNanos();
		if (this.scenario.firstIndication() == DrainScenario.FirstIndication.REFUSAL) {
			noteSign(vm, "a refusal");
			this.drains.get(vm).onLeavingRefusal(UPSTREAM, nowNanos);
		}
		else {
			noteSign(vm, "a load report");
			this.drains.get(vm).onLoadReport(UPSTREAM, true, nowNanos - 1, nowNanos);
		}
		spread(vm);
	}

	private void spread(VirtualVm vm) {
		this.fleet.perform(vm, vm.membership().propagateLocalChanges(this.fleet.clock().nowNanos()));
	}

	private void heal() {
		this.fleet.healPartitions();
		log("network  the cut heals");
	}

	private void noteSign(VirtualVm vm, String source) {
		if (this.firstSignNanos.putIfAbsent(vm, this.fleet.clock().nowNanos()) == null) {
			log(name(vm) + "hears from " + source + " that " + UPSTREAM + " is leaving");
		}
	}

	private static String name(VirtualVm vm) {
		return String.format(Locale.ROOT, "%-8s (%s) ", vm.vm().name(), vm.vm().dataCentre());
	}

	private void log(String event) {
		double seconds = (this.fleet.clock().nowNanos() - this.leavesAtNanos) / 1e9;
		this.lines.add(String.format(Locale.ROOT, "%8.3f s  %s", seconds, event));
	}

}
