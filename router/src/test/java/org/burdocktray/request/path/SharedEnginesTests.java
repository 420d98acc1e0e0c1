package org.burdocktray.request.path;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import org.burdocktray.model.DataCentre;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.process.directory.ReplicaLoads;
import org.burdocktray.process.directory.TestReplicas;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against overfilled caches under steady high load. Several VMs send requests to
 * the same engines; each VM sees only delayed load reports and its own requests. Runs in
 * virtual time.
 */
class SharedEnginesTests {

	private static final int VMS = 3;

	private static final int STEP_MILLIS = 10;

	private static final int RUN_MILLIS = 60_000;

	private static final int REPORT_PERIOD_MILLIS = 500;

	private static final int REPORT_LAG_MILLIS = 200;

	private static final int REQUEST_MILLIS = 2_000;

	private static final int PROMPT_TOKENS = 500;

	private static final int OUTPUT_TOKENS = 200;

	private static final double MAX_KV_FRACTION = 0.85;

	/** The capacity of an engine's KV cache, in tokens times layers. */
	private static final long KV_TOKEN_LAYERS = 200_000;

	private final Random random = new Random(7);

	private final List<Replica> engines = List.of(TestReplicas.engine("head", "ghent", "fast", 0, 5),
			TestReplicas.engine("tail", "ghent", "fast", 5, 10));

	private final List<ReplicaLoads> loads = new ArrayList<>();

	private final List<PathSearch> searches = new ArrayList<>();

	private final List<RunningRequest> running = new ArrayList<>();

	private final List<Long> usedHistory = new ArrayList<>();

	private int sent;

	private int rejected;

	private int overfilledSteps;

	@Test
	void fewRequestsAreRejectedBelowCapacity() {
		run(0.8);
		assertThat(this.sent).isGreaterThan(500);
		assertThat((double) this.rejected / (this.sent + this.rejected)).isLessThan(0.05);
	}

	@Test
	void enginesAreRarelyOverfilledAboveCapacity() {
		run(1.5);
		assertThat(this.rejected).isPositive();
		assertThat((double) this.overfilledSteps * STEP_MILLIS / RUN_MILLIS).isLessThan(0.05);
	}

	// Runs with a demand given as a fraction of what the engines can hold at once.
	private void run(double demandFraction) {
		for (int vm = 0; vm < VMS; vm++) {
			ReplicaLoads vmLoads = new ReplicaLoads();
			this.loads.add(vmLoads);
			this.searches.add(new PathSearch(new DataCentre("ghent"), vmLoads, this.random));
		}
		double concurrentRequests = MAX_KV_FRACTION * KV_TOKEN_LAYERS / 5 / (PROMPT_TOKENS + OUTPUT_TOKENS);
		double arrivalsInStep = demandFraction * concurrentRequests / REQUEST_MILLIS * STEP_MILLIS;
		for (int nowMillis = 0; nowMillis < RUN_MILLIS; nowMillis += STEP_MILLIS) {
			endFinished(nowMillis);
			report(nowMillis);
			if (this.random.nextDouble() < arrivalsInStep) {
				arrive(this.random.nextInt(VMS), nowMillis);
			}
			long usedTokenLayers = usedTokenLayers(nowMillis);
			this.usedHistory.add(usedTokenLayers);
			this.overfilledSteps += (usedTokenLayers > KV_TOKEN_LAYERS) ? 1 : 0;
		}
	}

	private void arrive(int vm, int nowMillis) {
		PathDemand demand = new PathDemand(PROMPT_TOKENS, OUTPUT_TOKENS, MAX_KV_FRACTION);
		Optional<LayerPath> path = this.searches.get(vm).find(this.engines, demand, TestReplicas.PROFILE);
		if (path.isEmpty()) {
			this.rejected++;
			return;
		}
		this.sent++;
		this.engines
			.forEach((engine) -> this.loads.get(vm).recordSend(engine, demand.totalTokens() * 5L, nanos(nowMillis)));
		this.running.add(new RunningRequest(vm, nowMillis, demand.totalTokens() * 5L));
	}

	private void endFinished(int nowMillis) {
		for (RunningRequest request : List.copyOf(this.running)) {
			if (nowMillis - request.startMillis() >= REQUEST_MILLIS) {
				this.running.remove(request);
				this.engines.forEach((engine) -> this.loads.get(request.vm()).recordEnd(engine, request.tokenLayers()));
			}
		}
	}

	private void report(int nowMillis) {
		if (nowMillis % REPORT_PERIOD_MILLIS != 0 || nowMillis < REPORT_LAG_MILLIS) {
			return;
		}
		long usedTokenLayers = this.usedHistory.get((nowMillis - REPORT_LAG_MILLIS) / STEP_MILLIS);
		for (ReplicaLoads vmLoads : this.loads) {
			this.engines.forEach((engine) -> vmLoads.recordReport(engine,
					TestReplicas.report(0, false, usedTokenLayers), nanos(nowMillis)));
		}
	}

	// Returns the cache in use at each engine: the prompts and the tokens generated so
	// far.
	private long usedTokenLayers(int nowMillis) {
		return this.running.stream()
			.mapToLong((request) -> 5L
					* (PROMPT_TOKENS + OUTPUT_TOKENS * (nowMillis - request.startMillis()) / REQUEST_MILLIS))
			.sum();
	}

	private static long nanos(int millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

	private record RunningRequest(int vm, int startMillis, long tokenLayers) {

	}

}
