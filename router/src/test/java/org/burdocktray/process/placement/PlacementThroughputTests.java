package org.burdocktray.process.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

import org.burdocktray.model.DataCentre;
import org.burdocktray.process.directory.LayerRange;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.process.directory.ReplicaLoads;
import org.burdocktray.process.directory.TestReplicas;
import org.burdocktray.request.path.LayerPath;
import org.burdocktray.request.path.PathDemand;
import org.burdocktray.request.path.PathSearch;
import org.burdocktray.request.path.PathStage;
import org.burdocktray.version.rules.AcceleratorKind;
import org.burdocktray.version.rules.EngineProfile;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Compares placements by throughput at saturation: the tokens per second of all requests
 * that fit into the KV cache of a data centre at the same time.
 */
class PlacementThroughputTests {

	/**
	 * A model whose weights need most of the memory, on fast, medium and slow
	 * accelerators.
	 */
	private static final EngineProfile LARGE = new EngineProfile("large", 80, 1_750, 918_000, 1, 0.007, 0.01, 100_000,
			190, 800, 200, 200, Map.of("fast", new AcceleratorKind("fast", 72_000, 2.4, 3), "medium",
					new AcceleratorKind("medium", 43_000, 5.6, 3), "slow", new AcceleratorKind("slow", 21_500, 16, 8)));

	private static final PlacementContext ALL_SETTLED = new PlacementContext(List.of(), (engine) -> true, true);

	private static final PathDemand DEMAND = new PathDemand(800, 200, 1);

	@Test
	void throughputOfFewFastAndManySlowEnginesExceedsEqualAndGreedyPlacement() {
		assertExceedsEqualAndGreedyPlacement(engines(1, 3, 8));
	}

	@Test
	void throughputOfManyMediumEnginesExceedsEqualAndGreedyPlacement() {
		assertExceedsEqualAndGreedyPlacement(engines(1, 6, 5));
	}

	@Test
	void throughputOfFastEnginesExceedsEqualAndGreedyPlacement() {
		assertExceedsEqualAndGreedyPlacement(engines(2, 2, 5));
	}

	/**
	 * An added fast engine gets the layers of a removed one although slow engines hold
	 * them.
	 */
	@Test
	void addedFastEngineGetsTheLayersThatOnlySlowEnginesHold() {
		List<Replica> engines = new ArrayList<>();
		engines.add(engine("fast", "fast").withLayers(Optional.of(new LayerRange(25, 50))));
		engines.add(engine("m1", "medium").withLayers(Optional.of(new LayerRange(50, 65))));
		engines.add(engine("m2", "medium").withLayers(Optional.of(new LayerRange(65, 80))));
		for (int index = 0; index < 5; index++) {
			engines
				.add(engine("s" + index, "slow").withLayers(Optional.of(new LayerRange(7 * index, 7 * (index + 1)))));
		}
		engines.add(engine("new", "fast"));
		LayerRange assigned = LayerPlacement.computeChanges(engines, LARGE, ALL_SETTLED).get("new");
		assertThat(assigned.from()).isZero();
		assertThat(assigned.to()).isBetween(20, 30);
	}

	private static void assertExceedsEqualAndGreedyPlacement(List<Replica> engines) {
		double placed = tokensPerSecond(
				applyChanges(engines, LayerPlacement.computeChanges(engines, LARGE, ALL_SETTLED)));
		assertThat(placed).isGreaterThan(1.2 * tokensPerSecond(placeInEqualParts(engines)));
		assertThat(placed).isGreaterThan(1.2 * tokensPerSecond(placeGreedilyByMemory(engines)));
	}

	// Sends requests until no path has free capacity.
	private static double tokensPerSecond(List<Replica> engines) {
		ReplicaLoads loads = new ReplicaLoads();
		PathSearch search = new PathSearch(new DataCentre("ghent"), loads, new Random(3));
		double total = 0;
		Optional<LayerPath> path = search.find(engines, DEMAND, LARGE);
		while (path.isPresent()) {
			double tokenMillis = 0;
			for (PathStage part : path.get().stages()) {
				loads.recordSend(part.replica(), (long) DEMAND.totalTokens() * part.layers().size(), 0);
				tokenMillis += kind(part.replica()).stepFactor() * part.layers().size() / LARGE.layers();
			}
			total += 1_000 / tokenMillis;
			path = search.find(engines, DEMAND, LARGE);
		}
		return total;
	}

	private static List<Replica> placeInEqualParts(List<Replica> engines) {
		List<Replica> result = new ArrayList<>();
		for (int index = 0; index < engines.size(); index++) {
			int from = LARGE.layers() * index / engines.size();
			int to = LARGE.layers() * (index + 1) / engines.size();
			result.add(engines.get(index).withLayers(Optional.of(new LayerRange(from, to))));
		}
		return result;
	}

	// Each engine holds as many layers as fit beside two requests, pipeline by pipeline.
	private static List<Replica> placeGreedilyByMemory(List<Replica> engines) {
		List<Replica> sorted = engines.stream()
			.sorted(Comparator.comparingDouble((Replica engine) -> -kind(engine).memoryMegabytes()))
			.toList();
		List<Replica> result = new ArrayList<>();
		int next = 0;
		for (Replica engine : sorted) {
			int to = Math.min(LARGE.layers(),
					next + LARGE.layersThatFit(kind(engine), 2 * LARGE.typicalRequestTokens()));
			result.add(engine.withLayers(Optional.of(new LayerRange(next, to))));
			next = to % LARGE.layers();
		}
		return result;
	}

	private static List<Replica> applyChanges(List<Replica> engines, Map<String, LayerRange> changes) {
		return engines.stream()
			.filter((engine) -> changes.containsKey(engine.id()))
			.map((engine) -> engine.withLayers(Optional.of(changes.get(engine.id()))))
			.toList();
	}

	private static List<Replica> engines(int fast, int medium, int slow) {
		List<Replica> result = new ArrayList<>();
		for (int index = 0; index < fast; index++) {
			result.add(engine("f" + index, "fast"));
		}
		for (int index = 0; index < medium; index++) {
			result.add(engine("m" + index, "medium"));
		}
		for (int index = 0; index < slow; index++) {
			result.add(engine("s" + index, "slow"));
		}
		return result;
	}

	private static Replica engine(String id, String kind) {
		return TestReplicas.emptyEngine(id, "ghent", kind);
	}

	private static AcceleratorKind kind(Replica engine) {
		return LARGE.kind(engine.acceleratorKind().orElseThrow()).orElseThrow();
	}

}
