package org.burdocktray.bench.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.burdocktray.bench.membership.DrainSession;
import org.burdocktray.bench.membership.VirtualFleet;
import org.burdocktray.bench.membership.VirtualVm;
import org.burdocktray.process.membership.MembershipSettings;
import org.burdocktray.process.quarantine.Quarantine;
import org.burdocktray.process.quarantine.QuarantineDecision;
import org.burdocktray.process.quarantine.QuarantineSettings;
import org.burdocktray.process.quarantine.RunOutcome;

/**
 * Simulates requests on upstreams that crash, in virtual time. A VM retries a run once if
 * its upstream crashes; after that the caller resends the request through a random VM. A
 * crashed upstream restarts after {@value #UPSTREAM_RESTART_MILLIS} ms. Thread safety:
 * none.
 */
public final class CrashSession {

	private static final long JOIN_MILLIS = 20_000;

	private static final long LOAD_MILLIS = 60_000;

	private static final long MIN_ARRIVAL_INTERVAL_MILLIS = 100;

	private static final long CRASH_DELAY_MILLIS = 300;

	private static final long UPSTREAM_RESTART_MILLIS = 20_000;

	private final CrashScenario scenario;

	private final SplittableRandom random;

	private final VirtualFleet fleet;

	private final Map<VirtualVm, Quarantine> quarantines = new HashMap<>();

	private final Set<String> liveUpstreams = new LinkedHashSet<>();

	private final Set<VirtualRun> runs = new LinkedHashSet<>();

	private final List<VirtualRequest> requests = new ArrayList<>();

	private final List<String> lines = new ArrayList<>();

	/**
	 * Creates a simulation.
	 * @param scenario the requests and crashes
	 */
	public CrashSession(CrashScenario scenario) {
		this.scenario = scenario;
		this.random = new SplittableRandom(scenario.seed());
		this.fleet = new VirtualFleet(scenario.seed(), MembershipSettings.defaults());
	}

	/**
	 * Runs the scenario.
	 * @return the result
	 */
	public CrashOutcome run() {
		for (int index = 0; index < this.scenario.vmCount(); index++) {
			startVm(index);
		}
		for (int index = 0; index < this.scenario.upstreamCount(); index++) {
			this.liveUpstreams.add("engine-" + index);
		}
		this.fleet.clock().runForMillis(JOIN_MILLIS);
		this.fleet.startedVms().forEach(this::submitNormalRequest);
		for (int index = 0; index < this.scenario.crashingRequestCount(); index++) {
			scheduleAfter(5_000 + this.random.nextLong(5_000), this::submitCrashingRequest);
		}
		int crashEventCount = this.scenario.unrelatedCrashes() / Math.max(1, this.scenario.simultaneousCrashes());
		for (int index = 0; index < crashEventCount; index++) {
			scheduleAfter(5_000 + this.random.nextLong(LOAD_MILLIS - 10_000), this::crashUnrelated);
		}
		this.fleet.clock().runForMillis(LOAD_MILLIS);
		return createOutcome();
	}

	/**
	 * Returns the events of the crashing requests, one per line.
	 * @return the lines in the order of events
	 */
	public List<String> lines() {
		return this.lines;
	}

	private CrashOutcome createOutcome() {
		int maxLost = this.requests.stream().mapToInt(VirtualRequest::lostUpstreams).max().orElse(0);
		List<VirtualRequest> normalRequests = this.requests.stream()
			.filter((request) -> !request.isCrashing())
			.toList();
		int affectedByCrash = (int) normalRequests.stream().filter(VirtualRequest::wasAffectedByCrash).count();
		int refusedCount = (int) normalRequests.stream().filter(VirtualRequest::wasRefused).count();
		return new CrashOutcome(maxLost, normalRequests.size(), affectedByCrash, refusedCount);
	}

	private void startVm(int index) {
		String name = "vm-" + index;
		Quarantine quarantine = new Quarantine(QuarantineSettings.defaults(), name);
		VirtualVm vm = this.fleet.start(name, DrainSession.DATA_CENTRES.get(index % DrainSession.DATA_CENTRES.size()),
				1, List.of(quarantine));
		this.quarantines.put(vm, quarantine);
	}

	private void submitNormalRequest(VirtualVm vm) {
		scheduleAfter(MIN_ARRIVAL_INTERVAL_MILLIS + this.random.nextLong(MIN_ARRIVAL_INTERVAL_MILLIS),
				() -> submitNormalRequest(vm));
		submit(vm, new VirtualRequest(this.requests.size(), false, this.scenario.maxResends()));
	}

	private void submitCrashingRequest() {
		submit(randomVm(), new VirtualRequest(this.requests.size(), true, this.scenario.maxResends()));
	}

	private void submit(VirtualVm vm, VirtualRequest request) {
		this.requests.add(request);
		attempt(vm, request, true);
	}

	private void attempt(VirtualVm vm, VirtualRequest request, boolean canRetry) {
		Quarantine quarantine = this.quarantines.get(vm);
		QuarantineDecision decision = this.scenario.quarantineEnabled()
				? quarantine.check(request.fingerprint(), nowNanos()) : new QuarantineDecision.Run();
		if (decision instanceof QuarantineDecision.Refuse) {
			request.recordRefusal();
			logIfCrashing(request, vm, "refuses the request as quarantined");
			resend(request);
			return;
		}
		if (decision instanceof QuarantineDecision.Wait) {
			logIfCrashing(request, vm, "refuses the request, as another VM is running it");
			resend(request);
			return;
		}
		boolean isIsolated = decision instanceof QuarantineDecision.RunAlone;
		Set<String> candidates = new LinkedHashSet<>(this.liveUpstreams);
		if (decision instanceof QuarantineDecision.RunAlone isolatedRun) {
			candidates.removeAll(isolatedRun.excludedUpstreams());
		}
		if (candidates.isEmpty()) {
			resend(request);
			return;
		}
		String upstream = List.copyOf(candidates).get(this.random.nextInt(candidates.size()));
		logIfCrashing(request, vm, (isIsolated ? "runs the suspect apart on " : "runs the request on ") + upstream);
		startRun(new VirtualRun(vm, request, upstream,
				quarantine.recordStart(request.fingerprint(), Set.of(upstream), nowNanos()), canRetry && !isIsolated));
		propagateChanges(vm);
	}

	private void startRun(VirtualRun run) {
		this.runs.add(run);
		if (run.request().isCrashing()) {
			scheduleAfter(CRASH_DELAY_MILLIS, () -> {
				if (this.runs.contains(run)) {
					run.request().recordLostUpstream(nowNanos());
					crash(run.upstream());
				}
			});
			return;
		}
		scheduleAfter(2_000 + this.random.nextLong(4_000), () -> succeed(run));
	}

	private void succeed(VirtualRun run) {
		if (this.runs.remove(run)) {
			this.quarantines.get(run.vm()).recordEnd(run.runId(), RunOutcome.SUCCEEDED, nowNanos());
			propagateChanges(run.vm());
		}
	}

	private void crashUnrelated() {
		List<String> candidates = new ArrayList<>(this.liveUpstreams);
		for (int index = 0; index < this.scenario.simultaneousCrashes() && !candidates.isEmpty(); index++) {
			crash(candidates.remove(this.random.nextInt(candidates.size())));
		}
	}

	private void crash(String upstream) {
		this.liveUpstreams.remove(upstream);
		scheduleAfter(UPSTREAM_RESTART_MILLIS, () -> this.liveUpstreams.add(upstream));
		Set<VirtualRun> lostRuns = new LinkedHashSet<>(this.runs);
		lostRuns.removeIf((run) -> !run.upstream().equals(upstream));
		this.runs.removeAll(lostRuns);
		if (!lostRuns.isEmpty()) {
			this.lines.add(formatLine("%s crashes with %d requests", upstream, lostRuns.size()));
		}
		Set<VirtualVm> notifiedVms = new HashSet<>();
		for (VirtualRun run : lostRuns) {
			run.request().recordCrash();
			if (notifiedVms.add(run.vm())) {
				scheduleAfter(1 + this.random.nextLong(4), () -> onCrashDetected(run.vm(), upstream, lostRuns));
			}
		}
	}

	private void onCrashDetected(VirtualVm vm, String upstream, Set<VirtualRun> lostRuns) {
		Quarantine quarantine = this.quarantines.get(vm);
		quarantine.recordCrash(upstream, nowNanos());
		List<VirtualRun> ownRuns = lostRuns.stream().filter((run) -> run.vm() == vm).toList();
		ownRuns.forEach((run) -> quarantine.recordEnd(run.runId(), RunOutcome.ENDED, nowNanos()));
		propagateChanges(vm);
		for (VirtualRun run : ownRuns) {
			if (run.canRetry()) {
				attempt(vm, run.request(), false);
			}
			else {
				resend(run.request());
			}
		}
	}

	private void resend(VirtualRequest request) {
		if (request.consumeResend()) {
			// Half of the callers resend immediately, before gossip can have reached all
			// VMs.
			long delayMillis = this.random.nextBoolean() ? 1 : this.random.nextLong(5, 500);
			scheduleAfter(delayMillis, () -> attempt(randomVm(), request, true));
		}
	}

	private void propagateChanges(VirtualVm vm) {
		this.fleet.perform(vm, vm.membership().propagateLocalChanges(nowNanos()));
	}

	private VirtualVm randomVm() {
		return this.fleet.startedVms().get(this.random.nextInt(this.fleet.startedVms().size()));
	}

	private void scheduleAfter(long millis, Runnable action) {
		this.fleet.clock().schedule(TimeUnit.MILLISECONDS.toNanos(millis), action);
	}

	private long nowNanos() {
		return this.fleet.clock().nowNanos();
	}

	private void logIfCrashing(VirtualRequest request, VirtualVm vm, String event) {
		if (request.isCrashing()) {
			this.lines.add(formatLine("%-5s %s", vm.vm().name(), event));
		}
	}

	private String formatLine(String format, Object... values) {
		double seconds = (nowNanos() - TimeUnit.MILLISECONDS.toNanos(JOIN_MILLIS)) / 1e9;
		return String.format(Locale.ROOT, "%8.3f s  ", seconds) + String.format(Locale.ROOT, format, values);
	}

	private record VirtualRun(VirtualVm vm, VirtualRequest request, String upstream, String runId, boolean canRetry) {

	}

}
