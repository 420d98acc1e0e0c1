package org.burdocktray.request.stream;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.burdocktray.connection.engine.AttemptRequest;
import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.model.Verdict;
import org.burdocktray.request.route.PipelineRoute;
import org.burdocktray.request.route.RouteQuery;
import org.burdocktray.standins.model.ModelIdentity;
import org.burdocktray.standins.model.ReferenceModel;
import org.burdocktray.standins.model.ReferenceResponse;
import org.burdocktray.version.bundle.Engine;

/**
 * Simulates one stream over three stages with two faults in virtual time. It performs the
 * session's actions like the router, and also passes on late events. Invariant: runs with
 * the same seed are identical. Thread safety: none.
 */
final class StreamFaultSimulation {

	private static final int STAGES = 3;

	/**
	 * Each of the two faults makes at most one engine per stage unusable, and so does a
	 * refusal.
	 */
	private static final int ENGINES_FOR_COMPLETION = 4;

	private static final int MAX_TOKENS = 16;

	private static final int MAX_ATTEMPTS = 8;

	private static final int MAX_ATTEMPTS_WITH_FEW_ENGINES = 2;

	/** The approximate time to the first token. */
	private static final int FIRST_TOKEN_MILLIS = 40;

	private static final int COMPLETE_RESPONSE_MILLIS = 400;

	private static final long TICK_MILLIS = 200;

	private static final long PROBE_TIMEOUT_MILLIS = 400;

	private static final long DEADLINE_MILLIS = 30_000;

	private static final String PROMPT = "why does this culture age so soon";

	private static final ModelIdentity IDENTITY = new ModelIdentity("panel", "1", "");

	private final VirtualTime time = new VirtualTime();

	private final Random random;

	private final int enginesPerStage;

	private final int maxAttempts;

	private final Set<StreamFault> faults;

	private final Map<Engine, FakeStage> stages = new LinkedHashMap<>();

	private final ReferenceResponse reference = new ReferenceModel("panel", "1", STAGES).generate(PROMPT, MAX_TOKENS);

	private final List<String> violations = new ArrayList<>();

	private final List<String> delivered = new ArrayList<>();

	private final Set<String> reportedFailures = new HashSet<>();

	private final Set<String> faultyEngines = new HashSet<>();

	private final List<FakeHeadAttempt> superseded = new ArrayList<>();

	private final StreamSession session;

	private Optional<AttemptRequest> currentRequest = Optional.empty();

	private Optional<FakeHeadAttempt> currentHead = Optional.empty();

	private boolean callerDisconnected;

	private int endCount;

	private boolean completed;

	StreamFaultSimulation(long seed, int enginesPerStage, StreamFault first, StreamFault second) {
		this.enginesPerStage = enginesPerStage;
		this.maxAttempts = (enginesPerStage < ENGINES_FOR_COMPLETION) ? MAX_ATTEMPTS_WITH_FEW_ENGINES : MAX_ATTEMPTS;
		this.session = new StreamSession(
				new StreamRequest("s", "panel", "1", 0, PROMPT, MAX_TOKENS, 0, new DataCentre("ghent"),
						TimeUnit.MILLISECONDS.toNanos(DEADLINE_MILLIS)),
				this::plan, RetryGuard.allowAll(),
				new StreamTimeouts(TimeUnit.SECONDS.toNanos(1), 5, this.maxAttempts));
		this.random = new Random(seed);
		this.faults = Set.copyOf(List.of(first, second).stream().distinct().toList());
		for (int layer = 0; layer < STAGES; layer++) {
			for (int index = 0; index < enginesPerStage; index++) {
				Engine engine = new Engine("e" + layer + "-" + index, new DataCentre("ghent"),
						new NetworkAddress("127.0.0.1", 9000), "panel", layer, layer + 1, "kind", 100, 8, List.of(),
						true);
				this.stages.put(engine, new FakeStage(this.time, IDENTITY, layer));
			}
		}
		schedule(first);
		schedule(second);
	}

	List<String> run() {
		perform(this.session.start(0));
		this.time.afterMillis(TICK_MILLIS, this::tick);
		this.time.runForMillis(2 * DEADLINE_MILLIS);
		if (this.callerDisconnected) {
			check(this.endCount == 0, "response ended after the caller disconnected");
			return this.violations;
		}
		check(this.endCount == 1, this.endCount + " ends of the response, expected 1");
		check(this.completed || this.enginesPerStage < ENGINES_FOR_COMPLETION,
				"response is not complete although engines were available");
		List<String> expected = this.reference.tokens();
		if (!this.completed) {
			expected = expected.subList(0, this.delivered.size());
		}
		check(this.delivered.equals(expected), "tokens differ from the reference: " + this.delivered);
		return this.violations;
	}

	private void tick() {
		perform(this.session.onTick(this.time.nowNanos()));
		if (!this.session.hasEnded()) {
			this.time.afterMillis(TICK_MILLIS, this::tick);
		}
	}

	private void schedule(StreamFault fault) {
		int withinMillis = this.random.nextBoolean() ? FIRST_TOKEN_MILLIS : COMPLETE_RESPONSE_MILLIS;
		this.time.afterMillis(this.random.nextInt(withinMillis), () -> inject(fault));
		if (fault == StreamFault.REFUSALS) {
			String refusing = "-" + this.random.nextInt(2);
			this.stages.forEach((engine, stage) -> stage.refuse(engine.name().endsWith(refusing) ? 2 : 0));
		}
		if (fault == StreamFault.STEPS_DUPLICATED_LATE) {
			this.stages.values().forEach((stage) -> stage.duplicateSteps(1 + this.random.nextInt(300)));
		}
	}

	private void inject(StreamFault fault) {
		if (this.session.hasEnded()) {
			return;
		}
		List<Engine> route = this.currentRequest.orElseThrow().stages();
		Engine stage = route.get(1 + this.random.nextInt(STAGES - 1));
		switch (fault) {
			case STAGE_KILLED -> faultyStage(stage).kill();
			case STAGE_RESTARTED -> faultyStage(stage).restart();
			case STAGE_FROZEN -> faultyStage(stage).freeze(freezeMillis());
			case HEAD_FROZEN -> faultyStage(route.get(0)).freeze(freezeMillis());
			case HEAD_KILLED -> {
				faultyStage(route.get(0)).kill();
				this.currentHead.ifPresent((head) -> head.breakConnection(true));
			}
			case CALLER_DISCONNECTED -> {
				this.callerDisconnected = true;
				perform(this.session.onCallerDisconnected());
			}
			default -> {
			}
		}
	}

	private long freezeMillis() {
		return this.random.nextBoolean() ? 500 + this.random.nextInt(5000) : 3 * DEADLINE_MILLIS;
	}

	private FakeStage faultyStage(Engine engine) {
		this.faultyEngines.add(engine.name());
		return this.stages.get(engine);
	}

	private void perform(List<StreamAction> actions) {
		actions.forEach(this::perform);
	}

	private void perform(StreamAction action) {
		if (action instanceof StreamAction.StartAttempt start) {
			startAttempt(start.request());
		}
		else if (action instanceof StreamAction.ResumeAttempt resume) {
			FakeHeadAttempt resumed = this.superseded.stream()
				.filter((head) -> head.request().attempt() == resume.attempt())
				.findFirst()
				.orElseThrow();
			this.superseded.remove(resumed);
			this.currentHead = Optional.of(resumed);
			this.currentRequest = Optional.of(resumed.request());
		}
		else if (action instanceof StreamAction.CancelAttempt) {
			this.currentHead.ifPresent(FakeHeadAttempt::close);
		}
		else if (action instanceof StreamAction.ProbeStages probe) {
			this.time.afterMillis(PROBE_TIMEOUT_MILLIS, () -> completeProbe(probe));
		}
		else if (action instanceof StreamAction.ReportUpstreamFailure failure) {
			check(this.faultyEngines.contains(failure.upstreamName()),
					"healthy engine " + failure.upstreamName() + " reported as failed");
			this.reportedFailures.add(failure.upstreamName());
		}
		else if (action instanceof StreamAction.Deliver deliver) {
			check(this.endCount == 0 && !this.callerDisconnected, "token delivered after the end of the response");
			check(deliver.position() == this.delivered.size(),
					"token position " + deliver.position() + " out of order");
			this.delivered.add(deliver.text());
		}
		else if (action instanceof StreamAction.Complete) {
			this.endCount++;
			this.completed = true;
		}
		else if (action instanceof StreamAction.Fail fail) {
			this.endCount++;
			check(fail.refusal().verdict() != Verdict.NOT_RUN || !hasAnyStepRun(),
					"verdict NOT_RUN although a step ran");
		}
	}

	private void startAttempt(AttemptRequest request) {
		check(request.attempt() <= this.maxAttempts, "too many attempts: " + request.attempt());
		check(request.emittedTokens().equals(this.delivered), "attempt does not continue from the delivered tokens");
		for (Engine stage : request.stages()) {
			check(!this.reportedFailures.contains(stage.name()), "attempt uses failed engine " + stage.name());
		}
		this.currentHead.ifPresent(this.superseded::add);
		this.currentRequest = Optional.of(request);
		FakeHeadAttempt head = new FakeHeadAttempt(this.time, request,
				request.stages().stream().map(this.stages::get).toList(),
				this.faults.contains(StreamFault.EVENTS_DUPLICATED_LATE), this.random, (event) -> {
					if (event.attempt() == this.currentRequest.orElseThrow().attempt() && event.hasReachedEngines()) {
						this.superseded.forEach(FakeHeadAttempt::close);
						this.superseded.clear();
					}
					perform(this.session.onEvent(event, this.time.nowNanos()));
				});
		this.currentHead = Optional.of(head);
		head.start();
	}

	private boolean hasAnyStepRun() {
		return this.stages.values().stream().anyMatch(FakeStage::hasRun);
	}

	private void completeProbe(StreamAction.ProbeStages probe) {
		Set<String> unresponsive = new HashSet<>();
		probe.stages()
			.stream()
			.filter((engine) -> !this.stages.get(engine).isResponsive())
			.forEach((engine) -> unresponsive.add(engine.name()));
		perform(this.session.onProbeResult(probe.attempt(), unresponsive, this.time.nowNanos()));
	}

	private Optional<PipelineRoute> plan(RouteQuery query) {
		List<Engine> chosen = new ArrayList<>();
		for (int layer = 0; layer < STAGES; layer++) {
			int fromLayer = layer;
			Optional<Engine> engine = query.keptStages()
				.stream()
				.filter((kept) -> kept.fromLayer() == fromLayer)
				.findFirst()
				.or(() -> this.stages.keySet()
					.stream()
					.filter((other) -> other.fromLayer() == fromLayer)
					.filter((other) -> !query.excludedUpstreams().contains(other.name()))
					.findFirst());
			if (engine.isEmpty()) {
				return Optional.empty();
			}
			chosen.add(engine.get());
		}
		return Optional.of(new PipelineRoute("panel", chosen));
	}

	private void check(boolean holds, String violation) {
		if (!holds) {
			this.violations.add(violation);
		}
	}

}
