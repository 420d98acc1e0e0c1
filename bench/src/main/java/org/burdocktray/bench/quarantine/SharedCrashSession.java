package org.burdocktray.bench.quarantine;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.burdocktray.bench.membership.VirtualClock;
import org.burdocktray.connection.peer.generated.Gossip;
import org.burdocktray.connection.peer.generated.QuarantineEntry;
import org.burdocktray.process.quarantine.Quarantine;
import org.burdocktray.process.quarantine.QuarantineDecision;
import org.burdocktray.process.quarantine.QuarantineSettings;
import org.burdocktray.process.quarantine.RunOutcome;

/**
 * Simulates streams over paths of engines behind gateways that share their quarantine
 * through the store, in virtual time. A stream that loses an engine is noticed after
 * {@value #STALL_MILLIS} ms and runs again on another path; until the VM knows of a
 * crash, it sends streams to the crashed engine. Sound engines may fall silent for a
 * while, in which their streams stall, and go on; VMs probe a silent engine until it
 * responds or has been silent for {@value #SOUND_SILENCE_MILLIS} ms. Thread safety: none.
 */
public final class SharedCrashSession {

	private static final long LOAD_MILLIS = 60_000;

	private static final long REQUEST_INTERVAL_MILLIS = 18;

	private static final int PATH_LENGTH = 4;

	private static final long STALL_MILLIS = 500;

	private static final long SILENT_PROBE_MILLIS = 300;

	private static final long REFUSED_PROBE_MILLIS = 3;

	/** The time after which a VM takes a silent engine for crashed. */
	private static final long SOUND_SILENCE_MILLIS = 2_500;

	private static final long REPEATED_PROBE_MILLIS = 400;

	private static final long POLL_MILLIS = 50;

	private static final long SAVE_INTERVAL_MILLIS = 100;

	private static final int ENTRIES_PER_SAVE = 8;

	private static final long MAX_STORE_DELAY_MILLIS = 20;

	/** The longest time until all VMs know from load reports that an engine is gone. */
	private static final long MAX_REPORT_DELAY_MILLIS = 1_000;

	private static final long RETURN_MILLIS = 5_000;

	private static final long CRASH_DELAY_MILLIS = 150;

	private static final long FIRST_OUTPUT_MILLIS = 500;

	private static final long HARMLESS_MILLIS = 500;

	private static final long MIN_SOUND_SILENCE_MILLIS = 500;

	private static final long MAX_SOUND_SILENCE_MILLIS = 2_000;

	private static final int MAX_SENDS = 4;

	private static final long MAX_PART_INTERVAL_MILLIS = 500;

	private final SharedCrashScenario scenario;

	private final SplittableRandom random;

	private final VirtualPrompts prompts;

	private final List<CrashingPart> crashingParts = new ArrayList<>();

	private final VirtualClock clock = new VirtualClock();

	private final List<Quarantine> vms = new ArrayList<>();

	private final Set<String> engines = new LinkedHashSet<>();

	private final Set<String> crashedEngines = new HashSet<>();

	/** The sound engines that are silent now. */
	private final Set<String> silentEngines = new HashSet<>();

	private final Set<Watch> watches = new HashSet<>();

	private final Set<Run> runs = new LinkedHashSet<>();

	private final List<VirtualRequest> requests = new ArrayList<>();

	private int startedEngines;

	private int storedEntries;

	/**
	 * Creates a simulation.
	 * @param scenario the requests and crashes
	 */
	public SharedCrashSession(SharedCrashScenario scenario) {
		this.scenario = scenario;
		this.random = new SplittableRandom(scenario.seed());
		this.prompts = new VirtualPrompts(scenario.seed());
	}

	/**
	 * Runs the scenario.
	 * @return the result
	 */
	public SharedCrashOutcome run() {
		for (int index = 0; index < this.scenario.vmCount(); index++) {
			Quarantine vm = new Quarantine(QuarantineSettings.sharedThroughStore(), "vm-" + index);
			this.vms.add(vm);
			after(SAVE_INTERVAL_MILLIS, () -> saveAndRepeat(vm));
		}
		for (int index = 0; index < this.scenario.engineCount(); index++) {
			startEngine();
		}
		submitSoundRequest();
		for (int index = 0; index < this.scenario.crashingRequestCount(); index++) {
			after(3_000 + this.random.nextLong(LOAD_MILLIS / 2), () -> submit(true));
		}
		for (int index = 0; index < this.scenario.crashWaves(); index++) {
			after(3_000 + this.random.nextLong(LOAD_MILLIS - 10_000), this::crashWave);
		}
		for (int index = 0; index < this.scenario.silenceWaves(); index++) {
			after(3_000 + this.random.nextLong(LOAD_MILLIS - 10_000), this::silenceWave);
		}
		for (int index = 0; index < this.scenario.crashingPartCount(); index++) {
			CrashingPart part = new CrashingPart("crashing-" + index);
			this.crashingParts.add(part);
			after(3_000 + this.random.nextLong(LOAD_MILLIS / 2), () -> submitWith(part));
		}
		this.clock.runForMillis(LOAD_MILLIS);
		List<VirtualRequest> sound = this.requests.stream().filter((request) -> !request.isCrashing()).toList();
		int maxLost = this.requests.stream().mapToInt(VirtualRequest::lostUpstreams).max().orElse(0);
		int overTwo = (int) this.requests.stream().filter((request) -> request.lostUpstreams() > 2).count();
		int affected = (int) sound.stream().filter(VirtualRequest::wasAffectedByCrash).count();
		int refused = (int) sound.stream().filter(VirtualRequest::wasRefused).count();
		int maxLostPerPart = this.crashingParts.stream().mapToInt(CrashingPart::crashes).max().orElse(0);
		int maxLateRuns = this.crashingParts.stream().mapToInt(CrashingPart::lateRuns).max().orElse(0);
		return new SharedCrashOutcome(maxLost, overTwo, sound.size(), affected, refused, maxLostPerPart, maxLateRuns,
				this.storedEntries);
	}

	private void startEngine() {
		this.engines.add("engine-" + this.startedEngines++);
	}

	private void submitSoundRequest() {
		submit(false);
		after(REQUEST_INTERVAL_MILLIS, this::submitSoundRequest);
	}

	private void submit(boolean isCrashing) {
		int resends = this.scenario.maxResends();
		submit(new VirtualRequest(this.requests.size(), isCrashing, resends, this.prompts.drawSound(),
				Optional.empty()));
	}

	private void submitWith(CrashingPart part) {
		submit(new VirtualRequest(this.requests.size(), false, 0, this.prompts.drawWith(part.id()), Optional.of(part)));
		after(1 + this.random.nextLong(MAX_PART_INTERVAL_MILLIS), () -> submitWith(part));
	}

	private void submit(VirtualRequest request) {
		this.requests.add(request);
		attempt(randomVm(), request, 0);
	}

	private void attempt(Quarantine vm, VirtualRequest request, int sends) {
		QuarantineDecision decision = vm.check(request.identity(), now());
		if (decision instanceof QuarantineDecision.Refuse) {
			request.recordRefusal();
			resend(request);
			return;
		}
		if (decision instanceof QuarantineDecision.Wait) {
			after(POLL_MILLIS, () -> attempt(vm, request, sends));
			return;
		}
		if (sends >= MAX_SENDS) {
			resend(request);
			return;
		}
		if (this.engines.size() < PATH_LENGTH) {
			after(POLL_MILLIS, () -> attempt(vm, request, sends));
			return;
		}
		Set<String> path = drawPath(
				(decision instanceof QuarantineDecision.RunAlone alone) ? alone.excludedUpstreams() : Set.of());
		boolean isProbed = sends > 0 || decision instanceof QuarantineDecision.RunAlone;
		if (isProbed && path.stream().anyMatch(this::isUnresponsive)) {
			after(POLL_MILLIS, () -> attempt(vm, request, sends));
			return;
		}
		Run run = new Run(vm, request, path, vm.recordStart(request.identity(), path, now()), now(), sends + 1);
		this.runs.add(run);
		request.recordRun(now());
		if (path.stream().anyMatch(this.crashedEngines::contains)) {
			after(STALL_MILLIS, () -> onStall(run));
			return;
		}
		if (request.isCrashing()) {
			after(CRASH_DELAY_MILLIS, () -> crashByRequest(run));
			return;
		}
		after(STALL_MILLIS, () -> stallIfSilent(run));
		after(FIRST_OUTPUT_MILLIS + HARMLESS_MILLIS, () -> recordHarmlessOnceHeard(run));
		after(1_000 + this.random.nextLong(7_000), () -> succeedOnceHeard(run));
	}

	private void recordHarmlessOnceHeard(Run run) {
		if (!this.runs.contains(run)) {
			return;
		}
		if (run.path().stream().anyMatch(this.silentEngines::contains)) {
			after(POLL_MILLIS, () -> recordHarmlessOnceHeard(run));
			return;
		}
		run.vm().recordHarmless(run.id(), now());
	}

	private void succeedOnceHeard(Run run) {
		if (!this.runs.contains(run)) {
			return;
		}
		if (run.path().stream().anyMatch(this.silentEngines::contains)) {
			after(POLL_MILLIS, () -> succeedOnceHeard(run));
			return;
		}
		this.runs.remove(run);
		run.vm().recordEnd(run.id(), RunOutcome.SUCCEEDED, now());
	}

	private boolean isUnresponsive(String engine) {
		return this.crashedEngines.contains(engine) || this.silentEngines.contains(engine);
	}

	private Set<String> drawPath(Set<String> excluded) {
		List<String> candidates = new ArrayList<>(this.engines);
		candidates.removeAll(excluded);
		if (candidates.size() < PATH_LENGTH) {
			candidates = new ArrayList<>(this.engines);
		}
		Set<String> path = new LinkedHashSet<>();
		while (path.size() < PATH_LENGTH) {
			path.add(candidates.get(this.random.nextInt(candidates.size())));
		}
		return path;
	}

	private void crashByRequest(Run run) {
		String engine = List.copyOf(run.path()).get(this.random.nextInt(PATH_LENGTH));
		if (this.runs.contains(run) && !this.crashedEngines.contains(engine)) {
			run.request().recordLostUpstream(now());
			crash(engine);
		}
	}

	private void crashWave() {
		List<String> candidates = new ArrayList<>(this.engines);
		candidates.removeAll(this.crashedEngines);
		for (int index = 0; index < this.scenario.enginesPerWave() && !candidates.isEmpty(); index++) {
			crash(candidates.remove(this.random.nextInt(candidates.size())));
		}
	}

	private void silenceWave() {
		List<String> candidates = new ArrayList<>(this.engines);
		candidates.removeIf(this::isUnresponsive);
		for (int index = 0; index < this.scenario.enginesPerSilenceWave() && !candidates.isEmpty(); index++) {
			fallSilent(candidates.remove(this.random.nextInt(candidates.size())));
		}
	}

	private void fallSilent(String engine) {
		this.silentEngines.add(engine);
		after(this.random.nextLong(MIN_SOUND_SILENCE_MILLIS, MAX_SOUND_SILENCE_MILLIS),
				() -> this.silentEngines.remove(engine));
		this.runs.stream()
			.filter((run) -> run.path().contains(engine))
			.forEach((run) -> after(STALL_MILLIS, () -> stallIfSilent(run)));
	}

	private void stallIfSilent(Run run) {
		if (run.path().stream().anyMatch(this.silentEngines::contains)) {
			onStall(run);
		}
	}

	private void crash(String engine) {
		this.crashedEngines.add(engine);
		after(this.random.nextLong(MAX_REPORT_DELAY_MILLIS), () -> this.engines.remove(engine));
		after(RETURN_MILLIS, this::startEngine);
		this.runs.stream()
			.filter((run) -> run.path().contains(engine))
			.forEach((run) -> after(STALL_MILLIS, () -> onStall(run)));
	}

	private void onStall(Run run) {
		if (!this.runs.remove(run)) {
			return;
		}
		run.request().recordCrash();
		Quarantine vm = run.vm();
		vm.recordLoss(run.id());
		boolean hasSilent = this.scenario.silentCrashes() || run.path().stream().anyMatch(this.silentEngines::contains);
		after(hasSilent ? SILENT_PROBE_MILLIS : REFUSED_PROBE_MILLIS, () -> {
			run.path().stream().filter(this::isUnresponsive).forEach((engine) -> recordUnresponsive(vm, engine));
			vm.recordEnd(run.id(), RunOutcome.ENDED, now());
			attempt(vm, run.request(), run.sends());
			save(vm);
		});
	}

	private void recordUnresponsive(Quarantine vm, String engine) {
		if (this.crashedEngines.contains(engine) && !this.scenario.silentCrashes()) {
			vm.recordCrash(engine, now());
			return;
		}
		Watch watch = new Watch(vm, engine);
		if (vm.recordSilence(engine, now()) > 0 && this.watches.add(watch)) {
			long confirmationMillis = SOUND_SILENCE_MILLIS - SILENT_PROBE_MILLIS;
			after(REPEATED_PROBE_MILLIS, () -> probeAgain(watch, confirmationMillis - REPEATED_PROBE_MILLIS));
		}
	}

	private void probeAgain(Watch watch, long remainingMillis) {
		if (isUnresponsive(watch.engine()) && remainingMillis > 0) {
			after(REPEATED_PROBE_MILLIS, () -> probeAgain(watch, remainingMillis - REPEATED_PROBE_MILLIS));
			return;
		}
		this.watches.remove(watch);
		if (isUnresponsive(watch.engine())) {
			watch.vm().recordCrash(watch.engine(), now());
		}
		else {
			watch.vm().recordResponse(watch.engine(), now());
		}
		save(watch.vm());
	}

	private void resend(VirtualRequest request) {
		if (request.consumeResend()) {
			long delayMillis = this.random.nextBoolean() ? 7 : this.random.nextLong(7, 500);
			after(delayMillis, () -> attempt(randomVm(), request, 0));
		}
	}

	private void saveAndRepeat(Quarantine vm) {
		save(vm);
		after(SAVE_INTERVAL_MILLIS, () -> saveAndRepeat(vm));
	}

	private void save(Quarantine vm) {
		List<QuarantineEntry> entries = vm.takeEntriesToStore(ENTRIES_PER_SAVE, now());
		this.storedEntries += entries.size();
		Gossip message = Gossip.newBuilder().addAllQuarantine(entries).build();
		if (!entries.isEmpty()) {
			this.vms.stream()
				.filter((other) -> other != vm)
				.forEach((other) -> after(1 + this.random.nextLong(MAX_STORE_DELAY_MILLIS),
						() -> other.merge(message, now())));
		}
	}

	private Quarantine randomVm() {
		return this.vms.get(this.random.nextInt(this.vms.size()));
	}

	private void after(long millis, Runnable action) {
		this.clock.schedule(TimeUnit.MILLISECONDS.toNanos(millis), action);
	}

	private long now() {
		return this.clock.nowNanos();
	}

	private record Run(Quarantine vm, VirtualRequest request, Set<String> path, String id, long startNanos, int sends) {

	}

	private record Watch(Quarantine vm, String engine) {

	}

}
