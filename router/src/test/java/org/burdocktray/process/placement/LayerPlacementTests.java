package org.burdocktray.process.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

import org.burdocktray.process.directory.LayerRange;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.process.directory.TestReplicas;
import org.burdocktray.version.rules.AcceleratorKind;
import org.burdocktray.version.rules.EngineProfile;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LayerPlacementTests {

	@Test
	void enginesWithoutLayersTogetherGetAllLayers() {
		List<Replica> engines = List.of(engineWithoutLayers("a", "fast"), engineWithoutLayers("b", "fast"));
		assertThat(coversAllLayers(applyChanges(engines, TestReplicas.PROFILE), TestReplicas.PROFILE)).isTrue();
	}

	@Test
	void engineWithLayersKeepsThem() {
		List<Replica> engines = List.of(TestReplicas.engine("a", "ghent", "fast", 0, 5),
				TestReplicas.engine("b", "ghent", "fast", 5, 10));
		assertThat(computeChanges(engines, TestReplicas.PROFILE)).isEmpty();
	}

	@Test
	void engineWithoutLayersGetsTheUnassignedLayers() {
		List<Replica> engines = List.of(TestReplicas.engine("a", "ghent", "fast", 0, 5),
				TestReplicas.engine("b", "ghent", "fast", 0, 5), engineWithoutLayers("new", "fast"));
		LayerRange assigned = computeChanges(engines, TestReplicas.PROFILE).get("new");
		assertThat(assigned.from()).isLessThanOrEqualTo(5);
		assertThat(assigned.to()).isEqualTo(10);
	}

	@Test
	void redundantEngineIsMovedToUnassignedLayers() {
		List<Replica> engines = List.of(TestReplicas.engine("a", "ghent", "fast", 0, 5),
				TestReplicas.engine("b", "ghent", "fast", 0, 5));
		Map<String, LayerRange> changes = computeChanges(engines, TestReplicas.PROFILE);
		assertThat(changes).hasSize(1);
		assertThat(coversAllLayers(applyChanges(engines, TestReplicas.PROFILE), TestReplicas.PROFILE)).isTrue();
	}

	@Test
	void assignedLayersFitIntoTheMemoryOfTheEngine() {
		Random random = new Random(11);
		for (int run = 0; run < 300; run++) {
			EngineProfile profile = randomProfile(random);
			List<Replica> engines = new ArrayList<>();
			int count = 1 + random.nextInt(24);
			for (int index = 0; index < count; index++) {
				String kind = "k" + random.nextInt(profile.kinds().size());
				engines.add(randomEngine("e" + index, kind, profile, random));
			}
			Map<String, LayerRange> changes = computeChanges(engines, profile);
			assertThat(computeChanges(engines, profile)).isEqualTo(changes);
			changes.forEach((id, layers) -> {
				Replica engine = engines.stream()
					.filter((candidate) -> candidate.id().equals(id))
					.findFirst()
					.orElseThrow();
				AcceleratorKind kind = profile.kind(engine.acceleratorKind().orElseThrow()).orElseThrow();
				assertThat(layers.size() * profile.layerMegabytes()).isLessThanOrEqualTo(kind.memoryMegabytes());
				assertThat(layers.to()).isLessThanOrEqualTo(profile.layers());
			});
		}
	}

	/**
	 * Mixed accelerators in one data centre: a pipeline of fast and slow engines would be
	 * limited by the slow ones. Since engines are sorted by speed, the fast engines alone
	 * hold a complete model.
	 */
	@Test
	void fastEnginesFormASeparatePipeline() {
		List<Replica> engines = new ArrayList<>();
		for (int index = 0; index < 2; index++) {
			engines.add(engineWithoutLayers("fast" + index, "fast"));
		}
		for (int index = 0; index < 5; index++) {
			engines.add(engineWithoutLayers("slow" + index, "slow"));
		}
		List<Replica> placed = applyChanges(engines, TestReplicas.PROFILE);
		List<Replica> fast = placed.stream()
			.filter((engine) -> engine.acceleratorKind().equals(Optional.of("fast")))
			.toList();
		assertThat(coversAllLayers(fast, TestReplicas.PROFILE)).isTrue();
		assertThat(coversAllLayers(placed.stream().filter((engine) -> !fast.contains(engine)).toList(),
				TestReplicas.PROFILE))
			.isTrue();
	}

	@Test
	void newEngineGetsExactlyTheLayersWithFewerHolders() {
		List<Replica> engines = List.of(TestReplicas.engine("a", "ghent", "fast", 0, 5),
				TestReplicas.engine("b", "ghent", "fast", 5, 10), TestReplicas.engine("c", "ghent", "slow", 0, 3),
				TestReplicas.engine("d", "ghent", "slow", 6, 10), engineWithoutLayers("new", "slow"));
		assertThat(computeChanges(engines, TestReplicas.PROFILE)).containsOnly(Map.entry("new", new LayerRange(3, 6)));
	}

	@Test
	void unsettledEngineGetsNoLayersWhileAllHaveTheSameNumberOfHolders() {
		List<Replica> engines = List.of(TestReplicas.engine("a", "ghent", "fast", 0, 5),
				TestReplicas.engine("b", "ghent", "fast", 5, 10), engineWithoutLayers("new", "fast"));
		assertThat(LayerPlacement.computeChanges(engines, TestReplicas.PROFILE, context(List.of(), false, true)))
			.isEmpty();
		assertThat(LayerPlacement.computeChanges(engines, TestReplicas.PROFILE, context(List.of(), true, true)))
			.containsOnlyKeys("new");
	}

	@Test
	void engineIsNotMovedWhileAllLayersAreAssigned() {
		List<Replica> engines = List.of(TestReplicas.engine("a", "ghent", "fast", 0, 5),
				TestReplicas.engine("b", "ghent", "fast", 0, 5), TestReplicas.engine("c", "ghent", "fast", 0, 5),
				TestReplicas.engine("d", "ghent", "fast", 5, 10));
		assertThat(computeChanges(engines, TestReplicas.PROFILE)).isEmpty();
	}

	/**
	 * In a rolling update the new engine registers a second before the old one leaves.
	 */
	@Test
	void newEngineGetsTheLayersOfADepartedEngineOfItsKind() {
		List<Replica> engines = List.of(TestReplicas.engine("a", "ghent", "fast", 0, 5),
				TestReplicas.engine("c", "ghent", "slow", 0, 3), TestReplicas.engine("d", "ghent", "slow", 3, 6),
				TestReplicas.engine("e", "ghent", "slow", 6, 8), TestReplicas.engine("f", "ghent", "slow", 7, 10),
				engineWithoutLayers("new", "fast"));
		List<Replica> departed = List.of(TestReplicas.engine("s", "ghent", "slow", 0, 2),
				TestReplicas.engine("b", "ghent", "fast", 5, 10));
		assertThat(LayerPlacement.computeChanges(engines, TestReplicas.PROFILE, context(departed, false, false)))
			.containsOnly(Map.entry("new", new LayerRange(5, 10)));
	}

	@Test
	void restartedEngineGetsItsPreviousLayers() {
		List<Replica> departed = List.of(TestReplicas.engine("a", "ghent", "fast", 0, 5),
				TestReplicas.engine("b", "ghent", "fast", 5, 10));
		List<Replica> engines = List.of(TestReplicas.engine("c", "ghent", "fast", 0, 6),
				engineWithoutLayers("b", "fast"));
		assertThat(LayerPlacement.computeChanges(engines, TestReplicas.PROFILE, context(departed, false, false)))
			.containsOnly(Map.entry("b", new LayerRange(5, 10)));
	}

	/** A restart takes less time than moving another engine. */
	@Test
	void engineIsNotMovedWhileMovesAreNotAllowed() {
		List<Replica> engines = List.of(TestReplicas.engine("a", "ghent", "fast", 0, 5),
				TestReplicas.engine("b", "ghent", "fast", 0, 5));
		assertThat(LayerPlacement.computeChanges(engines, TestReplicas.PROFILE, context(List.of(), true, false)))
			.isEmpty();
		assertThat(LayerPlacement.hasUnassignedLayers(engines, TestReplicas.PROFILE)).isTrue();
	}

	private static PlacementContext context(List<Replica> departed, boolean isSettled, boolean canMoveEngines) {
		return new PlacementContext(departed, (engine) -> isSettled, canMoveEngines);
	}

	private static Map<String, LayerRange> computeChanges(List<Replica> engines, EngineProfile profile) {
		return LayerPlacement.computeChanges(engines, profile, context(List.of(), true, true));
	}

	private static List<Replica> applyChanges(List<Replica> engines, EngineProfile profile) {
		Map<String, LayerRange> changes = computeChanges(engines, profile);
		return engines.stream()
			.map((engine) -> engine.withLayers(Optional.ofNullable(changes.get(engine.id())).or(engine::layers)))
			.toList();
	}

	private static boolean coversAllLayers(List<Replica> engines, EngineProfile profile) {
		for (int layer = 0; layer < profile.layers(); layer++) {
			int requiredLayer = layer;
			if (engines.stream()
				.noneMatch((engine) -> engine.layers().filter((held) -> held.contains(requiredLayer)).isPresent())) {
				return false;
			}
		}
		return true;
	}

	private static Replica engineWithoutLayers(String id, String kind) {
		return TestReplicas.emptyEngine(id, "ghent", kind);
	}

	private static Replica randomEngine(String id, String kind, EngineProfile profile, Random random) {
		if (random.nextBoolean()) {
			return engineWithoutLayers(id, kind);
		}
		int from = random.nextInt(profile.layers());
		int maxLayers = (int) (profile.kind(kind).orElseThrow().memoryMegabytes() / profile.layerMegabytes());
		int to = Math.min(profile.layers(),
				from + Math.max(1, Math.min(maxLayers, 1 + random.nextInt(profile.layers()))));
		return TestReplicas.engine(id, "ghent", kind, from, to);
	}

	private static EngineProfile randomProfile(Random random) {
		Map<String, AcceleratorKind> kinds = new HashMap<>();
		int count = 1 + random.nextInt(3);
		for (int index = 0; index < count; index++) {
			kinds.put("k" + index, new AcceleratorKind("k" + index, 500 + random.nextInt(80_000),
					1 + random.nextInt(16), 1 + random.nextInt(8)));
		}
		return new EngineProfile("m", 1 + random.nextInt(96), 100 + random.nextInt(2_000), 1_000_000, 1, 0.01, 0.01,
				100_000, 100, 700, 200, 200, kinds);
	}

}
