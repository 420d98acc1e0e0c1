package org.burdocktray.process.balance;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.burdocktray.process.directory.Replica;
import org.burdocktray.process.directory.TestReplicas;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EngineFlowTests {

	private static final StreamTargets TARGETS = new StreamTargets(500, 250);

	private static final PassTimes TIMES = new PassTimes(TestReplicas.PROFILE);

	/**
	 * Guards against paths that name an engine for layers it does not hold, or leave
	 * layers out.
	 */
	@Test
	void drawnPathsRunAllLayersInOrder() {
		EngineFlow flow = solve(engine("a", "fast", 0, 5, 1), engine("b", "fast", 5, 10, 1),
				engine("c", "slow", 0, 3, 1), engine("d", "slow", 2, 6, 1), engine("e", "slow", 6, 10, 1));
		SplittableRandom random = new SplittableRandom(1);
		for (int draw = 0; draw < 200; draw++) {
			int layer = 0;
			for (Replica engine : flow.draw(random).orElseThrow()) {
				assertThat(engine.layers().orElseThrow().contains(layer)).isTrue();
				layer = engine.layers().orElseThrow().to();
			}
			assertThat(layer).isEqualTo(10);
		}
	}

	/** Guards against shares that ignore how fast engines are at present. */
	@Test
	void slowEngineLosesShareInProportion() {
		double before = shareOf("b", solve(engine("a", "fast", 0, 5, 1), engine("b", "fast", 5, 10, 1),
				engine("c", "fast", 0, 5, 1), engine("d", "fast", 5, 10, 1)));
		double slowed = shareOf("b", solve(engine("a", "fast", 0, 5, 1), engine("b", "fast", 5, 10, 8),
				engine("c", "fast", 0, 5, 1), engine("d", "fast", 5, 10, 1)));
		assertThat(before).isBetween(0.45, 0.55);
		assertThat(slowed).isBetween(0.02, 0.35);
	}

	/**
	 * Guards against a maximum flow that fills one of two like engines and leaves the
	 * other idle.
	 */
	@Test
	void likeEnginesBesideBottleneckShareEvenly() {
		EngineFlow flow = solve(engine("a", "fast", 0, 5, 1), engine("b", "fast", 0, 5, 1),
				engine("c", "fast", 5, 10, 4));
		assertThat(shareOf("a", flow)).isBetween(0.35, 0.65);
	}

	@Test
	void bearsNothingWithoutAllLayersOrWithinTooStrictTargets() {
		assertThat(solve(engine("a", "fast", 0, 5, 1)).requestsPerSecond()).isZero();
		EngineFlow late = EngineFlow.solve(List.of(engine("a", "slow", 0, 5, 1), engine("b", "slow", 5, 10, 1)), TIMES,
				new StreamTargets(10, 250));
		assertThat(late.requestsPerSecond()).isZero();
		assertThat(late.draw(new SplittableRandom(1))).isEmpty();
	}

	private static EngineFlow solve(FlowEngine... engines) {
		return EngineFlow.solve(List.of(engines), TIMES, TARGETS);
	}

	private static double shareOf(String id, EngineFlow flow) {
		SplittableRandom random = new SplittableRandom(1);
		List<String> heads = new ArrayList<>();
		for (int draw = 0; draw < 1_000; draw++) {
			flow.draw(random).orElseThrow().stream().map(Replica::id).forEach(heads::add);
		}
		return heads.stream().filter(id::equals).count() / 1_000.0;
	}

	private static FlowEngine engine(String id, String kind, int from, int to, double slowdownFactor) {
		Replica engine = TestReplicas.engine(id, "ghent", kind, from, to);
		return new FlowEngine(engine, engine.layers().orElseThrow(), TestReplicas.PROFILE.kind(kind).orElseThrow(),
				slowdownFactor);
	}

}
