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
 * Heavy, steady load: several VMs fill the same engines, each by reports that are old and
 * by what it has sent itself. Runs in virtual time.
 */
class SharedEnginesTests {

	private static final int VMS = 3;

	private static final int STEP_MILLIS = 10;

	private static final int RUN_MILLIS = 60_000;

	private static final int REPORT_PERIOD_MILLIS = 500;

	private static final int REPORT_LAG_MILLIS = 200;

	private static final int REQUEST_MILLIS = 2_000;

	private static final int PROMPT_TOKENS = 500;

	private static final int ANSWER_TOKENS = 200;

	private static final double KV_SHARE = 0.85;

	/** Tokens times layers that an engine of the chain has room for. */
	private static final long ROOM = 200_000;

	private final Random random = new Random(7);

	private final List<Replica> engines = List.of(TestReplicas.engine("head", "ghent", "fast", 0, 5),
			TestReplicas.engine("tail", "ghent", "fast", 5, 10));

	private final List<ReplicaLoads> loads = new ArrayList<>();

	private final List<PathSearch> searches = new ArrayList<>();

	private final List<Running> running = new ArrayList<>();

	private final List<Long> usedHistory = new ArrayList<>();

	private int sent;

	private int withoutRoom;

	private int overfullSteps;

	@Test
	void requestsFindRoomWhileThereIsSome() {
		run(0.8);
		assertThat(this.sent).isGreaterThan(500);
		assertThat((double) this.withoutRoom / (this.sent + this.withoutRoom)).isLessThan(0.05);
	}

	@Test
	void enginesAreSeldomOverfullWhenMoreIsAskedThanTheyHold() {
		run(1.5);
		assertThat(this.withoutRoom).isPositive();
		assertThat((double) this.overfullSteps * STEP_MILLIS / RUN_MILLIS).isLessThan(0.05);
	}

	// Offers a part of what the engines can keep at once.
	private void run(double offered) {
		for (int vm = 0; vm < VMS; vm++) {
			ReplicaLoads own = new ReplicaLoads();
			this.loads.add(own);
			this.searches.add(new PathSearch(new DataCentre("ghent"), own, this.random));
		}
		double kept = KV_SHARE * ROOM / 5 / (PROMPT_TOKENS + ANSWER_TOKENS);
		double arrivalsInStep = offered * kept / REQUEST_MILLIS * STEP_MILLIS;
		for (int nowMillis = 0; nowMillis < RUN_MILLIS; nowMillis += STEP_MILLIS) {
			end(nowMillis);
			report(nowMillis);
			if (this.random.nextDouble() < arrivalsInStep) {
				arrive(this.random.nextInt(VMS), nowMillis);
			}
			long used = used(nowMillis);
			this.usedHistory.add(used);
			this.overfullSteps += (used > ROOM) ? 1 : 0;
		}
	}

	private void arrive(int vm, int nowMillis) {
		PathDemand demand = new PathDemand(PROMPT_TOKENS, ANSWER_TOKENS, KV_SHARE);
		Optional<LayerPath> path = this.searches.get(vm).find(this.engines, demand, TestReplicas.PROFILE);
		if (path.isEmpty()) {
			this.withoutRoom++;
			return;
		}
		this.sent++;
		this.engines
			.forEach((engine) -> this.loads.get(vm).recordSend(engine, demand.totalTokens() * 5L, nanos(nowMillis)));
		this.running.add(new Running(vm, nowMillis, demand.totalTokens() * 5L));
	}

	private void end(int nowMillis) {
		for (Running request : List.copyOf(this.running)) {
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
		long used = this.usedHistory.get((nowMillis - REPORT_LAG_MILLIS) / STEP_MILLIS);
		for (ReplicaLoads own : this.loads) {
			this.engines
				.forEach((engine) -> own.recordReport(engine, TestReplicas.report(0, false, used), nanos(nowMillis)));
		}
	}

	// What the requests hold of each engine: their prompt and what is written so far.
	private long used(int nowMillis) {
		return this.running.stream()
			.mapToLong((request) -> 5L
					* (PROMPT_TOKENS + ANSWER_TOKENS * (nowMillis - request.startMillis()) / REQUEST_MILLIS))
			.sum();
	}

	private static long nanos(int millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

	private record Running(int vm, int startMillis, long tokenLayers) {

	}

}
