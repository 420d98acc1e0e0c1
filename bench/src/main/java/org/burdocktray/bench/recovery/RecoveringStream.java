package org.burdocktray.bench.recovery;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.burdocktray.bench.membership.VirtualClock;
import org.burdocktray.connection.engine.AttemptRequest;
import org.burdocktray.connection.engine.EngineEvent;
import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.request.route.PipelineRoute;
import org.burdocktray.request.route.RouteQuery;
import org.burdocktray.request.stream.RetryGuard;
import org.burdocktray.request.stream.StreamAction;
import org.burdocktray.request.stream.StreamRequest;
import org.burdocktray.request.stream.StreamSession;
import org.burdocktray.request.stream.StreamTimeouts;
import org.burdocktray.version.bundle.Engine;

/**
 * A simulated stream that is controlled by a {@link StreamSession}, with the tick
 * interval and probe timeout of the process and the default stall timeout. Thread safety:
 * none.
 */
final class RecoveringStream {

	private static final long STALL_TIMEOUT_MILLIS = 1_000;

	private static final int MAX_PROBES_WITHOUT_PROGRESS = 5;

	private static final int MAX_ATTEMPTS = 8;

	private static final long TICK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

	private static final long PROBE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

	private static final long TOKEN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(30);

	private static final int MIN_PROMPT_TOKENS = 50;

	private static final int MAX_PROMPT_TOKENS = 2_000;

	private static final int MAX_TOKENS = 600;

	private static final int FAILING_STAGE_INDEX = 1;

	private static final String FAILING_ENGINE = "e1-0";

	private final int index;

	private final RecoveryRun simulation;

	private final VirtualClock clock;

	private final int promptTokens;

	private final long phaseNanos;

	private final StreamSession session;

	private final List<String> delivered = new ArrayList<>();

	private Optional<AttemptRequest> currentAttempt = Optional.empty();

	private boolean stageFailed;

	private long lastTokenNanos;

	private long longestPauseNanos;

	private int wrongTokens;

	RecoveringStream(int index, RecoveryRun simulation, Random random) {
		this.index = index;
		this.simulation = simulation;
		this.clock = simulation.clock();
		this.promptTokens = MIN_PROMPT_TOKENS + random.nextInt(MAX_PROMPT_TOKENS - MIN_PROMPT_TOKENS + 1);
		this.phaseNanos = (long) (random.nextDouble() * TICK_INTERVAL_NANOS);
		StreamRequest request = new StreamRequest("s" + index, "panel", "1", 0, "prompt", MAX_TOKENS, 0,
				new DataCentre("ghent"), TimeUnit.MINUTES.toNanos(2));
		this.session = new StreamSession(request, this::planRoute, RetryGuard.allowAll(), new StreamTimeouts(
				TimeUnit.MILLISECONDS.toNanos(STALL_TIMEOUT_MILLIS), MAX_PROBES_WITHOUT_PROGRESS, MAX_ATTEMPTS));
	}

	void start() {
		this.clock.schedule(this.phaseNanos, () -> {
			perform(this.session.start(this.clock.nowNanos()));
			this.clock.schedule(TICK_INTERVAL_NANOS, this::tick);
		});
	}

	void failStage() {
		this.stageFailed = true;
		if (this.simulation.scenario().failure() == RecoveryScenario.Failure.FREEZES) {
			return;
		}
		// The previous stage detects the broken connection immediately.
		int attempt = this.currentAttempt.orElseThrow().attempt();
		onEvent(new EngineEvent.StageFailed(attempt, FAILING_STAGE_INDEX, true, "connection reset"));
	}

	long longestPauseNanos() {
		return this.longestPauseNanos;
	}

	int wrongTokens() {
		return this.wrongTokens + MAX_TOKENS - this.delivered.size();
	}

	private void tick() {
		perform(this.session.onTick(this.clock.nowNanos()));
		if (!this.session.hasEnded()) {
			this.clock.schedule(TICK_INTERVAL_NANOS, this::tick);
		}
	}

	private void perform(List<StreamAction> actions) {
		actions.forEach(this::perform);
	}

	private void perform(StreamAction action) {
		if (action instanceof StreamAction.StartAttempt start) {
			startAttempt(start.request());
		}
		else if (action instanceof StreamAction.ProbeStages probe) {
			boolean probesFailedEngine = probe.stages()
				.stream()
				.anyMatch((stage) -> FAILING_ENGINE.equals(stage.name()));
			Set<String> unresponsive = (this.stageFailed && probesFailedEngine) ? Set.of(FAILING_ENGINE) : Set.of();
			this.clock.schedule(PROBE_TIMEOUT_NANOS,
					() -> perform(this.session.onProbeResult(probe.attempt(), unresponsive, this.clock.nowNanos())));
		}
		else if (action instanceof StreamAction.Deliver deliver) {
			deliver(deliver);
		}
	}

	private void startAttempt(AttemptRequest request) {
		this.currentAttempt = Optional.of(request);
		int position = request.emittedTokens().size();
		if (request.attempt() == 1) {
			// The prefill of the prompt is complete before the measurement begins.
			this.clock.schedule(TOKEN_INTERVAL_NANOS, () -> emitToken(request, position));
			return;
		}
		int[] engines = new int[RecoveryRun.STAGE_COUNT];
		for (int stage = 0; stage < engines.length; stage++) {
			int engine = engineIndex(request.stages().get(stage));
			engines[stage] = (engine == 0) ? -1 : engine;
		}
		long prefillNanos = this.simulation.schedulePrefill(engines, this.promptTokens + position);
		this.clock.schedule(prefillNanos + TOKEN_INTERVAL_NANOS, () -> emitToken(request, position));
	}

	private void emitToken(AttemptRequest request, int position) {
		boolean isAtFailedEngine = this.stageFailed
				&& request.stages().get(FAILING_STAGE_INDEX).name().equals(FAILING_ENGINE);
		if (isAtFailedEngine || this.currentAttempt.orElseThrow() != request) {
			return;
		}
		onEvent(new EngineEvent.Token(request.attempt(), position, tokenText(position)));
		if (position + 1 < MAX_TOKENS) {
			this.clock.schedule(TOKEN_INTERVAL_NANOS, () -> emitToken(request, position + 1));
			return;
		}
		onEvent(new EngineEvent.Done(request.attempt(), "length", this.promptTokens));
	}

	private void onEvent(EngineEvent event) {
		perform(this.session.onEvent(event, this.clock.nowNanos()));
	}

	private void deliver(StreamAction.Deliver deliver) {
		if (deliver.position() != this.delivered.size() || !deliver.text().equals(tokenText(deliver.position()))) {
			this.wrongTokens++;
		}
		if (!this.delivered.isEmpty()) {
			this.longestPauseNanos = Math.max(this.longestPauseNanos, this.clock.nowNanos() - this.lastTokenNanos);
		}
		this.delivered.add(deliver.text());
		this.lastTokenNanos = this.clock.nowNanos();
	}

	private String tokenText(int position) {
		return this.index + "/" + position;
	}

	private Optional<PipelineRoute> planRoute(RouteQuery query) {
		if (query.excludedUpstreams().isEmpty()) {
			return createRoute(new int[RecoveryRun.STAGE_COUNT]);
		}
		int replacement = this.simulation.replacementOf(this.index);
		boolean replacesAll = this.simulation.scenario().recovery() == RecoveryScenario.Recovery.RESTART;
		int otherStages = replacesAll ? replacement : 0;
		return createRoute(new int[] { otherStages, replacement, otherStages });
	}

	private static Optional<PipelineRoute> createRoute(int[] engines) {
		List<Engine> stages = new ArrayList<>();
		for (int layer = 0; layer < engines.length; layer++) {
			stages.add(new Engine("e" + layer + "-" + engines[layer], new DataCentre("ghent"),
					new NetworkAddress("127.0.0.1", 9000), "panel", layer, layer + 1, "kind", 100, 8, List.of(), true));
		}
		return Optional.of(new PipelineRoute("panel", stages));
	}

	private static int engineIndex(Engine engine) {
		return Integer.parseInt(engine.name().substring(engine.name().indexOf('-') + 1));
	}

}
