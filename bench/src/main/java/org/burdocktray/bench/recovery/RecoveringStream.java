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
 * One stream, decided by a {@link StreamSession} with the process's tick and probe and
 * the default bound on silence. Thread safety: none.
 */
final class RecoveringStream {

	private static final long SILENCE_MILLIS = 1_000;

	private static final int MAX_SILENT_PROBES = 5;

	private static final int MAX_ATTEMPTS = 8;

	private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

	private static final long PROBE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

	private static final long TOKEN_NANOS = TimeUnit.MILLISECONDS.toNanos(30);

	private static final int LEAST_PROMPT_TOKENS = 50;

	private static final int MOST_PROMPT_TOKENS = 2_000;

	private static final int MAX_TOKENS = 600;

	private static final int FAILING_STAGE = 1;

	private static final String FAILING = "e1-0";

	private final int index;

	private final RecoveryRun run;

	private final VirtualClock clock;

	private final int promptTokens;

	private final long phaseNanos;

	private final StreamSession session;

	private final List<String> delivered = new ArrayList<>();

	private Optional<AttemptRequest> running = Optional.empty();

	private boolean stageFailed;

	private long lastTokenNanos;

	private long longestGapNanos;

	private int wrongTokens;

	RecoveringStream(int index, RecoveryRun run, Random random) {
		this.index = index;
		this.run = run;
		this.clock = run.clock();
		this.promptTokens = LEAST_PROMPT_TOKENS + random.nextInt(MOST_PROMPT_TOKENS - LEAST_PROMPT_TOKENS + 1);
		this.phaseNanos = (long) (random.nextDouble() * TICK_NANOS);
		StreamRequest request = new StreamRequest("s" + index, "panel", "1", 0, "prompt", MAX_TOKENS, 0,
				new DataCentre("ghent"), TimeUnit.MINUTES.toNanos(2));
		this.session = new StreamSession(request, this::plan, RetryGuard.allowAll(),
				new StreamTimeouts(TimeUnit.MILLISECONDS.toNanos(SILENCE_MILLIS), MAX_SILENT_PROBES, MAX_ATTEMPTS));
	}

	void start() {
		this.clock.schedule(this.phaseNanos, () -> {
			perform(this.session.start(this.clock.nowNanos()));
			this.clock.schedule(TICK_NANOS, this::tick);
		});
	}

	void stageFails() {
		this.stageFailed = true;
		if (this.run.scenario().failure() == RecoveryScenario.Failure.FREEZES) {
			return;
		}
		// The stage before it sees its connection break at once.
		int attempt = this.running.orElseThrow().attempt();
		onEvent(new EngineEvent.StageFailed(attempt, FAILING_STAGE, true, "connection reset"));
	}

	long longestGapNanos() {
		return this.longestGapNanos;
	}

	int wrongTokens() {
		return this.wrongTokens + MAX_TOKENS - this.delivered.size();
	}

	private void tick() {
		perform(this.session.onTick(this.clock.nowNanos()));
		if (!this.session.hasEnded()) {
			this.clock.schedule(TICK_NANOS, this::tick);
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
			boolean asksFailed = probe.stages().stream().anyMatch((stage) -> FAILING.equals(stage.name()));
			Set<String> silent = (this.stageFailed && asksFailed) ? Set.of(FAILING) : Set.of();
			this.clock.schedule(PROBE_TIMEOUT_NANOS,
					() -> perform(this.session.onProbeResult(probe.attempt(), silent, this.clock.nowNanos())));
		}
		else if (action instanceof StreamAction.Deliver deliver) {
			deliver(deliver);
		}
	}

	private void startAttempt(AttemptRequest order) {
		this.running = Optional.of(order);
		int position = order.emittedTokens().size();
		if (order.attempt() == 1) {
			// The prompt has been taken in before the measurement begins.
			this.clock.schedule(TOKEN_NANOS, () -> token(order, position));
			return;
		}
		int[] engines = new int[RecoveryRun.STAGES];
		for (int stage = 0; stage < engines.length; stage++) {
			int engine = engineIndex(order.stages().get(stage));
			engines[stage] = (engine == 0) ? -1 : engine;
		}
		long prefillNanos = this.run.prefillNanos(engines, this.promptTokens + position);
		this.clock.schedule(prefillNanos + TOKEN_NANOS, () -> token(order, position));
	}

	private void token(AttemptRequest order, int position) {
		boolean stopped = this.stageFailed && order.stages().get(FAILING_STAGE).name().equals(FAILING);
		if (stopped || this.running.orElseThrow() != order) {
			return;
		}
		onEvent(new EngineEvent.Token(order.attempt(), position, text(position)));
		if (position + 1 < MAX_TOKENS) {
			this.clock.schedule(TOKEN_NANOS, () -> token(order, position + 1));
			return;
		}
		onEvent(new EngineEvent.Done(order.attempt(), "length", this.promptTokens));
	}

	private void onEvent(EngineEvent event) {
		perform(this.session.onEvent(event, this.clock.nowNanos()));
	}

	private void deliver(StreamAction.Deliver deliver) {
		if (deliver.position() != this.delivered.size() || !deliver.text().equals(text(deliver.position()))) {
			this.wrongTokens++;
		}
		if (!this.delivered.isEmpty()) {
			this.longestGapNanos = Math.max(this.longestGapNanos, this.clock.nowNanos() - this.lastTokenNanos);
		}
		this.delivered.add(deliver.text());
		this.lastTokenNanos = this.clock.nowNanos();
	}

	private String text(int position) {
		return this.index + "/" + position;
	}

	private Optional<PipelineRoute> plan(RouteQuery query) {
		if (query.excludedUpstreams().isEmpty()) {
			return route(new int[RecoveryRun.STAGES]);
		}
		int replacement = this.run.replacementOf(this.index);
		boolean replacesAll = this.run.scenario().recovery() == RecoveryScenario.Recovery.RESTART;
		int other = replacesAll ? replacement : 0;
		return route(new int[] { other, replacement, other });
	}

	private static Optional<PipelineRoute> route(int[] engines) {
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
