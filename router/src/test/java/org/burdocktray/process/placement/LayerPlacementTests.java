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
	void emptyEnginesAreGivenAllLayers() {
		List<Replica> engines = List.of(empty("a", "fast"), empty("b", "fast"));
		assertThat(covered(after(engines, TestReplicas.PROFILE), TestReplicas.PROFILE)).isTrue();
	}

	@Test
	void engineThatHoldsLayersKeepsThem() {
		List<Replica> engines = List.of(TestReplicas.engine("a", "ghent", "fast", 0, 5),
				TestReplicas.engine("b", "ghent", "fast", 5, 10));
		assertThat(changes(engines, TestReplicas.PROFILE)).isEmpty();
	}

	@Test
	void emptyEngineIsGivenTheLayersThatNobodyHolds() {
		List<Replica> engines = List.of(TestReplicas.engine("a", "ghent", "fast", 0, 5),
				TestReplicas.engine("b", "ghent", "fast", 0, 5), empty("new", "fast"));
		LayerRange given = changes(engines, TestReplicas.PROFILE).get("new");
		assertThat(given.from()).isLessThanOrEqualTo(5);
		assertThat(given.to()).isEqualTo(10);
	}

	@Test
	void redundantEngineIsMovedToALostRange() {
		List<Replica> engines = List.of(TestReplicas.engine("a", "ghent", "fast", 0, 5),
				TestReplicas.engine("b", "ghent", "fast", 0, 5));
		Map<String, LayerRange> changes = changes(engines, TestReplicas.PROFILE);
		assertThat(changes).hasSize(1);
		assertThat(covered(after(engines, TestReplicas.PROFILE), TestReplicas.PROFILE)).isTrue();
	}

	@Test
	void noEngineIsGivenMoreThanItsMemoryHolds() {
		Random random = new Random(11);
		for (int run = 0; run < 300; run++) {
			EngineProfile profile = randomProfile(random);
			List<Replica> engines = new ArrayList<>();
			int count = 1 + random.nextInt(24);
			for (int index = 0; index < count; index++) {
				String kind = "k" + random.nextInt(profile.kinds().size());
				engines.add(randomEngine("e" + index, kind, profile, random));
			}
			Map<String, LayerRange> changes = changes(engines, profile);
			assertThat(changes(engines, profile)).isEqualTo(changes);
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
	 * Mixed accelerators in one data centre: fast and slow engines in one chain would be
	 * as slow as the slow ones. Sorted by speed, the fast engines alone hold a whole
	 * model.
	 */
	@Test
	void fastEnginesFormAChainOfTheirOwn() {
		List<Replica> engines = new ArrayList<>();
		for (int index = 0; index < 2; index++) {
			engines.add(empty("fast" + index, "fast"));
		}
		for (int index = 0; index < 5; index++) {
			engines.add(empty("slow" + index, "slow"));
		}
		List<Replica> placed = after(engines, TestReplicas.PROFILE);
		List<Replica> fast = placed.stream()
			.filter((engine) -> engine.acceleratorKind().equals(Optional.of("fast")))
			.toList();
		assertThat(covered(fast, TestReplicas.PROFILE)).isTrue();
		assertThat(covered(placed.stream().filter((engine) -> !fast.contains(engine)).toList(), TestReplicas.PROFILE))
			.isTrue();
	}

	@Test
	void newEngineTakesTheVeryLayersThatItsPredecessorLeft() {
		List<Replica> engines = List.of(TestReplicas.engine("a", "ghent", "fast", 0, 5),
				TestReplicas.engine("b", "ghent", "fast", 5, 10), TestReplicas.engine("c", "ghent", "slow", 0, 3),
				TestReplicas.engine("d", "ghent", "slow", 6, 10), empty("new", "slow"));
		assertThat(changes(engines, TestReplicas.PROFILE)).containsOnly(Map.entry("new", new LayerRange(3, 6)));
	}

	@Test
	void newEngineWaitsForTheOneThatItMayReplace() {
		List<Replica> engines = List.of(TestReplicas.engine("a", "ghent", "fast", 0, 5),
				TestReplicas.engine("b", "ghent", "fast", 5, 10), empty("new", "fast"));
		assertThat(LayerPlacement.computeChanges(engines, TestReplicas.PROFILE, replacement(List.of(), false, true)))
			.isEmpty();
		assertThat(LayerPlacement.computeChanges(engines, TestReplicas.PROFILE, replacement(List.of(), true, true)))
			.containsOnlyKeys("new");
	}

	@Test
	void engineIsNotMovedWhileAllLayersAreHeld() {
		List<Replica> engines = List.of(TestReplicas.engine("a", "ghent", "fast", 0, 5),
				TestReplicas.engine("b", "ghent", "fast", 0, 5), TestReplicas.engine("c", "ghent", "fast", 0, 5),
				TestReplicas.engine("d", "ghent", "fast", 5, 10));
		assertThat(changes(engines, TestReplicas.PROFILE)).isEmpty();
	}

	/** A release: the new engine comes first, the old one leaves a second later. */
	@Test
	void newEngineTakesTheLayersOfTheOneThatLeft() {
		List<Replica> engines = List.of(TestReplicas.engine("a", "ghent", "fast", 0, 5),
				TestReplicas.engine("c", "ghent", "slow", 0, 3), TestReplicas.engine("d", "ghent", "slow", 3, 6),
				TestReplicas.engine("e", "ghent", "slow", 6, 8), TestReplicas.engine("f", "ghent", "slow", 7, 10),
				empty("new", "fast"));
		List<Replica> left = List.of(TestReplicas.engine("s", "ghent", "slow", 0, 2),
				TestReplicas.engine("b", "ghent", "fast", 5, 10));
		assertThat(LayerPlacement.computeChanges(engines, TestReplicas.PROFILE, replacement(left, false, false)))
			.containsOnly(Map.entry("new", new LayerRange(5, 10)));
	}

	@Test
	void restartedEngineTakesItsOwnLayersAgain() {
		List<Replica> left = List.of(TestReplicas.engine("a", "ghent", "fast", 0, 5),
				TestReplicas.engine("b", "ghent", "fast", 5, 10));
		List<Replica> engines = List.of(TestReplicas.engine("c", "ghent", "fast", 0, 6), empty("b", "fast"));
		assertThat(LayerPlacement.computeChanges(engines, TestReplicas.PROFILE, replacement(left, false, false)))
			.containsOnly(Map.entry("b", new LayerRange(5, 10)));
	}

	/** An engine that restarts is back sooner than another one has moved. */
	@Test
	void engineIsNotMovedWhileALostOneMayBeBack() {
		List<Replica> engines = List.of(TestReplicas.engine("a", "ghent", "fast", 0, 5),
				TestReplicas.engine("b", "ghent", "fast", 0, 5));
		assertThat(LayerPlacement.computeChanges(engines, TestReplicas.PROFILE, replacement(List.of(), true, false)))
			.isEmpty();
		assertThat(LayerPlacement.hasUnassignedLayers(engines, TestReplicas.PROFILE)).isTrue();
	}

	private static PlacementContext replacement(List<Replica> left, boolean isSettled, boolean mayMove) {
		return new PlacementContext(left, (engine) -> isSettled, mayMove);
	}

	private static Map<String, LayerRange> changes(List<Replica> engines, EngineProfile profile) {
		return LayerPlacement.computeChanges(engines, profile, replacement(List.of(), true, true));
	}

	private static List<Replica> after(List<Replica> engines, EngineProfile profile) {
		Map<String, LayerRange> changes = changes(engines, profile);
		return engines.stream()
			.map((engine) -> engine.withLayers(Optional.ofNullable(changes.get(engine.id())).or(engine::layers)))
			.toList();
	}

	private static boolean covered(List<Replica> engines, EngineProfile profile) {
		for (int layer = 0; layer < profile.layers(); layer++) {
			int wanted = layer;
			if (engines.stream()
				.noneMatch((engine) -> engine.layers().filter((held) -> held.contains(wanted)).isPresent())) {
				return false;
			}
		}
		return true;
	}

	private static Replica empty(String id, String kind) {
		return TestReplicas.emptyEngine(id, "ghent", kind);
	}

	private static Replica randomEngine(String id, String kind, EngineProfile profile, Random random) {
		if (random.nextBoolean()) {
			return empty(id, kind);
		}
		int from = random.nextInt(profile.layers());
		int fit = (int) (profile.kind(kind).orElseThrow().memoryMegabytes() / profile.layerMegabytes());
		int to = Math.min(profile.layers(), from + Math.max(1, Math.min(fit, 1 + random.nextInt(profile.layers()))));
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
