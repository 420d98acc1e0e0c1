package org.burdocktray.bench.jmh;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.burdocktray.bench.route.Topologies;
import org.burdocktray.process.load.UpstreamLoads;
import org.burdocktray.request.route.MaxFlowRouting;
import org.burdocktray.request.route.PipelineRoute;
import org.burdocktray.request.route.RouteQuery;
import org.burdocktray.request.route.RoutingPolicy;
import org.burdocktray.version.bundle.Bundle;
import org.burdocktray.version.bundle.Engine;
import org.burdocktray.version.bundle.Model;
import org.burdocktray.version.routing.RoutingSnapshot;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/**
 * Measures one routing decision with 35 engines of one model and with 1,700 engines of 33
 * models. Thread safety: one state per thread.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class RoutingBenchmark {

	private static final int SEED = 1;

	private static final int MAX_IN_FLIGHT = 64;

	@Param({ "35", "1700" })
	private int engines;

	private final SplittableRandom random = new SplittableRandom(SEED);

	private final UpstreamLoads loads = new UpstreamLoads(System::nanoTime);

	private final RoutingPolicy policy = new MaxFlowRouting();

	private RoutingSnapshot snapshot;

	private RouteQuery[] queries;

	private int next;

	/**
	 * Creates the fleet with random loads.
	 */
	@Setup
	public void createFleet() {
		boolean small = this.engines < Topologies.targetSize(SEED).bundle().engines().size();
		Bundle bundle = (small) ? Topologies.yankiLike().bundle() : Topologies.targetSize(SEED).bundle();
		this.snapshot = RoutingSnapshot.of(bundle);
		for (Engine engine : bundle.engines()) {
			this.loads.recordReport(engine.name(), this.random.nextInt(MAX_IN_FLIGHT));
			this.loads.acquire(engine.name());
		}
		this.queries = bundle.models().stream().map(this::query).toArray(RouteQuery[]::new);
	}

	private RouteQuery query(Model model) {
		Engine engine = this.snapshot.engines(model.name()).get(0);
		return new RouteQuery(model.name(), engine.dataCentre(), this.random.nextLong(), Set.of(), List.of());
	}

	/**
	 * Chooses one route.
	 * @return the route
	 */
	@Benchmark
	public Optional<PipelineRoute> choose() {
		this.next = (this.next + 1) % this.queries.length;
		return this.policy.choose(this.queries[this.next], this.snapshot, this.loads, this.random);
	}

}
