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

import org.burdocktray.connection.engine.StreamOrder;
import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.model.Verdict;
import org.burdocktray.request.route.PipelineRoute;
import org.burdocktray.request.route.RouteQuery;
import org.burdocktray.standins.model.ModelIdentity;
import org.burdocktray.standins.model.ReferenceAnswer;
import org.burdocktray.standins.model.ReferenceModel;
import org.burdocktray.version.bundle.Engine;

/**
 * One stream over three stages with two faults, in virtual time. It carries out the
 * session's actions as the process does, but hands it late events too. Invariant: the
 * same seed gives the same run. Thread safety: none.
 */
final class StreamFaultSimulation {

	private static final int STAGES = 3;

	/** Each of two faults takes one engine of a stage at most, and so does a refusal. */
	private static final int ENOUGH_ENGINES = 4;

	private static final int MAX_TOKENS = 16;

	private static final int MAX_ATTEMPTS = 8;

	private static final int FEW_ATTEMPTS = 2;

	/** About the time until the first token. */
	private static final int FIRST_STEPS_MILLIS = 40;

	private static final int WHOLE_ANSWER_MILLIS = 400;

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

	private final ReferenceAnswer reference = new ReferenceModel("panel", "1", STAGES).answer(PROMPT, MAX_TOKENS);

	private final List<String> violations = new ArrayList<>();

	private final List<String> delivered = new ArrayList<>();

	private final Set<String> noted = new HashSet<>();

	private final Set<String> hit = new HashSet<>();

	private final List<FakeHeadAttempt> superseded = new ArrayList<>();

	private final StreamSession session;

	private Optional<StreamOrder> running = Optional.empty();

	private Optional<FakeHeadAttempt> runningHead = Optional.empty();

	private boolean callerGone;

	private int ends;

	private boolean completed;

	StreamFaultSimulation(long seed, int enginesPerStage, StreamFault first, StreamFault second) {
		this.enginesPerStage = enginesPerStage;
		this.maxAttempts = (enginesPerStage < ENOUGH_ENGINES) ? FEW_ATTEMPTS : MAX_ATTEMPTS;
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
		if (this.callerGone) {
			check(this.ends == 0, "an end after the caller had gone");
			return this.violations;
		}
		check(this.ends == 1, this.ends + " ends");
		check(this.completed || this.enginesPerStage < ENOUGH_ENGINES, "not whole although engines were left");
		List<String> expected = this.reference.tokens();
		if (!this.completed) {
			expected = expected.subList(0, this.delivered.size());
		}
		check(this.delivered.equals(expected), "not the reference: " + this.delivered);
		return this.violations;
	}

	private void tick() {
		perform(this.session.onTick(this.time.nowNanos()));
		if (!this.session.hasEnded()) {
			this.time.afterMillis(TICK_MILLIS, this::tick);
		}
	}

	private void schedule(StreamFault fault) {
		int withinMillis = this.random.nextBoolean() ? FIRST_STEPS_MILLIS : WHOLE_ANSWER_MILLIS;
		this.time.afterMillis(this.random.nextInt(withinMillis), () -> strike(fault));
		if (fault == StreamFault.REFUSALS) {
			String refusing = "-" + this.random.nextInt(2);
			this.stages.forEach((engine, stage) -> stage.refuse(engine.name().endsWith(refusing) ? 2 : 0));
		}
		if (fault == StreamFault.STEPS_DUPLICATED_LATE) {
			this.stages.values().forEach((stage) -> stage.doubleSteps(1 + this.random.nextInt(300)));
		}
	}

	private void strike(StreamFault fault) {
		if (this.session.hasEnded()) {
			return;
		}
		List<Engine> route = this.running.orElseThrow().stages();
		Engine stage = route.get(1 + this.random.nextInt(STAGES - 1));
		switch (fault) {
			case STAGE_KILLED -> struck(stage).kill();
			case STAGE_RESTARTED -> struck(stage).restart();
			case STAGE_FROZEN -> struck(stage).freeze(freezeMillis());
			case HEAD_FROZEN -> struck(route.get(0)).freeze(freezeMillis());
			case HEAD_KILLED -> {
				struck(route.get(0)).kill();
				this.runningHead.ifPresent((head) -> head.breakConnection(true));
			}
			case CALLER_DISCONNECTED -> {
				this.callerGone = true;
				perform(this.session.onCallerDisconnected());
			}
			default -> {
			}
		}
	}

	private long freezeMillis() {
		return this.random.nextBoolean() ? 500 + this.random.nextInt(5000) : 3 * DEADLINE_MILLIS;
	}

	private FakeStage struck(Engine engine) {
		this.hit.add(engine.name());
		return this.stages.get(engine);
	}

	private void perform(List<StreamAction> actions) {
		actions.forEach(this::perform);
	}

	private void perform(StreamAction action) {
		if (action instanceof StreamAction.StartAttempt start) {
			startAttempt(start.order());
		}
		else if (action instanceof StreamAction.CancelAttempt) {
			this.runningHead.ifPresent(FakeHeadAttempt::close);
		}
		else if (action instanceof StreamAction.ProbeStages probe) {
			this.time.afterMillis(PROBE_TIMEOUT_MILLIS, () -> probed(probe));
		}
		else if (action instanceof StreamAction.ReportUpstreamFailure failure) {
			check(this.hit.contains(failure.upstreamName()), "healthy " + failure.upstreamName() + " blamed");
			this.noted.add(failure.upstreamName());
		}
		else if (action instanceof StreamAction.Deliver deliver) {
			check(this.ends == 0 && !this.callerGone, "delivery after the end");
			check(deliver.position() == this.delivered.size(), "position " + deliver.position() + " out of order");
			this.delivered.add(deliver.text());
		}
		else if (action instanceof StreamAction.Complete) {
			this.ends++;
			this.completed = true;
		}
		else if (action instanceof StreamAction.Fail fail) {
			this.ends++;
			check(fail.refusal().verdict() != Verdict.NOT_RUN || !anythingRun(), "ran: no after a step had run");
		}
	}

	private void startAttempt(StreamOrder order) {
		check(order.attempt() <= this.maxAttempts, "attempt " + order.attempt());
		check(order.emittedTokens().equals(this.delivered), "attempt goes on after other tokens");
		for (Engine stage : order.stages()) {
			check(!this.noted.contains(stage.name()), "attempt on failed " + stage.name());
		}
		this.runningHead.ifPresent(this.superseded::add);
		this.running = Optional.of(order);
		FakeHeadAttempt head = new FakeHeadAttempt(this.time, order,
				order.stages().stream().map(this.stages::get).toList(),
				this.faults.contains(StreamFault.EVENTS_DUPLICATED_LATE), this.random, (event) -> {
					if (event.attempt() == this.running.orElseThrow().attempt()) {
						this.superseded.forEach(FakeHeadAttempt::close);
						this.superseded.clear();
					}
					perform(this.session.onEvent(event, this.time.nowNanos()));
				});
		this.runningHead = Optional.of(head);
		head.start();
	}

	private boolean anythingRun() {
		return this.stages.values().stream().anyMatch(FakeStage::hasRun);
	}

	private void probed(StreamAction.ProbeStages probe) {
		Set<String> silent = new HashSet<>();
		probe.stages()
			.stream()
			.filter((engine) -> !this.stages.get(engine).answers())
			.forEach((engine) -> silent.add(engine.name()));
		perform(this.session.onProbeResult(probe.attempt(), silent, this.time.nowNanos()));
	}

	private Optional<PipelineRoute> plan(RouteQuery query) {
		List<Engine> chosen = new ArrayList<>();
		for (int layer = 0; layer < STAGES; layer++) {
			int wanted = layer;
			Optional<Engine> engine = query.keptStages()
				.stream()
				.filter((kept) -> kept.fromLayer() == wanted)
				.findFirst()
				.or(() -> this.stages.keySet()
					.stream()
					.filter((other) -> other.fromLayer() == wanted)
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
