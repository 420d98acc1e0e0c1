package org.burdocktray.process.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Collectors;

import org.burdocktray.process.balance.FlowCapacity;
import org.burdocktray.process.balance.StreamTargets;
import org.burdocktray.process.directory.LayerRange;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.process.directory.TestReplicas;
import org.burdocktray.process.placement.PlacementChange.Reason;
import org.burdocktray.version.rules.AcceleratorKind;
import org.burdocktray.version.rules.EngineProfile;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class FlowPlacementTests {

	private static final EngineProfile LARGE = new EngineProfile("large", 80, 1_750, 918_000, 1, 0.01, 0.01, 100_000,
			190, 800, 200, 200,
			Map.of("fast", new AcceleratorKind("fast", 72_000, 2.4, 3), "medium",
					new AcceleratorKind("medium", 43_000, 5.6, 3), "slow", new AcceleratorKind("slow", 21_500, 16, 8)),
			3, 512);

	private static final FlowCapacity CAPACITY = new FlowCapacity(LARGE, new StreamTargets(500, 250));

	private static final FlowPlacement PLACEMENT = new FlowPlacement(CAPACITY);

	/** Guards against a wait, and against other layers, for engines that restart. */
	@Test
	void restartedGroupGetsItsLayersBackOneByOneAndAtOnce() {
		List<Replica> all = placedFleet();
		List<Replica> lost = all.subList(0, 4);
		List<Replica> present = new ArrayList<>(all.subList(4, all.size()));
		for (int index = 0; index < lost.size(); index++) {
			Replica restarted = lost.get(index).withLayers(Optional.empty());
			present.add(restarted);
			Map<String, PlacementChange> changes = PLACEMENT.computeChanges(present,
					unsettled(lost.subList(index, lost.size())));
			assertThat(changes).containsOnlyKeys(restarted.id());
			assertThat(changes.get(restarted.id()).layers()).isEqualTo(lost.get(index).layers().orElseThrow());
			present = apply(present, changes);
		}
	}

	/** Guards against a data centre that waits for registrations after it lost all. */
	@Test
	void returningEnginesOfLostDataCentreAreUsedAtOnce() {
		List<Replica> all = placedFleet();
		Replica first = renamed(all.get(3), "new");
		Map<String, PlacementChange> changes = PLACEMENT.computeChanges(List.of(first), unsettled(all));
		assertThat(changes.get("new").layers().size()).isPositive();
	}

	/**
	 * Guards against empty engines that wait for a predecessor while engines are lost:
	 * the target is 0.9 of the flow that was there before.
	 */
	@Test
	void otherEmptyEnginesReplaceLostGroupAtOnce() {
		List<Replica> all = placedFleet();
		double before = CAPACITY.requestsPerSecond(all);
		List<Replica> lost = all.stream().filter((engine) -> isKind(engine, "fast")).limit(3).toList();
		List<Replica> present = new ArrayList<>(all);
		present.removeAll(lost);
		double without = CAPACITY.requestsPerSecond(present);
		lost.forEach((engine) -> present.add(renamed(engine, "new-" + engine.id())));
		double after = CAPACITY.requestsPerSecond(apply(present, PLACEMENT.computeChanges(present, unsettled(lost))));
		assertThat(without).isLessThan(0.9 * before);
		assertThat(after).isGreaterThanOrEqualTo(0.9 * before);
	}

	/**
	 * Guards against a successor that loads other layers shortly before its predecessor
	 * leaves, and against one that waits once it has left.
	 */
	@Test
	void successorWaitsForItsPredecessorToLeave() {
		List<Replica> all = placedFleet();
		Replica predecessor = all.get(8);
		List<Replica> both = new ArrayList<>(all);
		both.add(renamed(predecessor, "successor"));
		assertThat(PLACEMENT.computeChanges(both, unsettled(List.of()))).isEmpty();
		both.remove(predecessor);
		assertThat(PLACEMENT.computeChanges(both, unsettled(List.of(predecessor))).get("successor").layers())
			.isEqualTo(predecessor.layers().orElseThrow());
	}

	/**
	 * Guards against a planned replacement that loses a path: a successor took layers
	 * that would have served more, so its predecessor's layers were held by nobody when
	 * that left.
	 */
	@Test
	void successorWaitsAlsoWhereOtherLayersAreTheBottleneck() {
		List<Replica> present = List.of(engine("a", "fast", 0, 28), engine("b", "fast", 28, 56),
				engine("c", "fast", 56, 80), engine("d", "fast", 0, 28), engine("e", "fast", 28, 56),
				TestReplicas.emptyEngine("successor", "ghent", "fast"));
		assertThat(PLACEMENT.computeChanges(present, unsettled(List.of()))).isEmpty();
		PlacementContext settled = new PlacementContext(List.of(), (engine) -> true, false);
		assertThat(PLACEMENT.computeChanges(present, settled).get("successor").layers())
			.isEqualTo(new LayerRange(56, 80));
	}

	/**
	 * Guards against a data centre that loads layers on all its engines at once after the
	 * loss of some: nothing was served until the loads had ended, and the next loss began
	 * it anew.
	 */
	@Test
	void enginesOfBrokenPathKeepTheirLayers() {
		List<Replica> present = List.of(engine("a", "fast", 0, 40), engine("b", "fast", 0, 40),
				engine("c", "fast", 0, 40), engine("d", "fast", 0, 40));
		assertThat(PLACEMENT.computeChanges(present, unsettled(List.of(engine("e", "fast", 40, 80))))).isEmpty();
	}

	/**
	 * Guards against layers beyond the memory of an engine, decisions that differ between
	 * VMs, and engines that serve but are moved.
	 */
	@Test
	void changesFitAreDeterministicAndSpareServingEngines() {
		Random random = new Random(3);
		for (int run = 0; run < 60; run++) {
			List<Replica> all = placedFleet();
			List<Replica> lost = new ArrayList<>();
			List<Replica> present = new ArrayList<>();
			for (Replica engine : all) {
				((random.nextInt(4) != 0) ? present : lost).add(engine);
			}
			for (int index = random.nextInt(3); index > 0; index--) {
				present.add(TestReplicas.emptyEngine("x" + index, "ghent",
						List.of("fast", "medium", "slow").get(random.nextInt(3))));
			}
			Map<String, PlacementChange> changes = PLACEMENT.computeChanges(present, unsettled(lost));
			assertThat(PLACEMENT.computeChanges(present, unsettled(lost))).isEqualTo(changes);
			for (Replica engine : present) {
				PlacementChange change = changes.get(engine.id());
				if (change == null) {
					continue;
				}
				assertThat(engine.layers()).isEmpty();
				AcceleratorKind kind = LARGE.kind(engine.acceleratorKind().orElseThrow()).orElseThrow();
				assertThat(change.layers().size() * LARGE.layerMegabytes()).isLessThanOrEqualTo(kind.memoryMegabytes());
			}
			assertThat(CAPACITY.requestsPerSecond(apply(present, changes)))
				.isGreaterThanOrEqualTo(CAPACITY.requestsPerSecond(present));
		}
	}

	/**
	 * Guards against ranges chosen as if all lost engines returned: nothing was served
	 * when only a part of them came back under new ids.
	 */
	@Test
	void partOfLostDataCentreServesWhatItCan() {
		List<Replica> all = placedFleet();
		for (int count : List.of(9, 12, 16)) {
			List<Replica> present = new ArrayList<>();
			all.subList(0, count).forEach((engine) -> present.add(renamed(engine, "new-" + engine.id())));
			assertServesAsMuchAsByHolders(PLACEMENT, CAPACITY, present, all);
		}
	}

	/** Guards against old ranges for engines whose model has more layers by now. */
	@Test
	void restartedEnginesOfChangedModelAreDividedAnew() {
		EngineProfile larger = new EngineProfile("large", 96, 1_750, 918_000, 1, 0.01, 0.01, 100_000, 190, 800, 200,
				200, LARGE.kinds(), 3, 512);
		FlowCapacity capacity = new FlowCapacity(larger, new StreamTargets(500, 250));
		List<Replica> all = placedFleet();
		List<Replica> present = all.stream().map((engine) -> engine.withLayers(Optional.empty())).toList();
		assertServesAsMuchAsByHolders(new FlowPlacement(capacity), capacity, present, all);
	}

	/** Guards against a wait of 60 s for engines that have the memory of lost ones. */
	@Test
	void successorsOfSmallerKindArePlacedAtOnce() {
		List<Replica> all = List.of(engine("a", "fast", 0, 40), engine("b", "fast", 40, 80));
		List<Replica> present = new ArrayList<>();
		for (int index = 0; index < 24; index++) {
			present.add(TestReplicas.emptyEngine("s" + index, "ghent", "slow"));
		}
		assertServesAsMuchAsByHolders(PLACEMENT, CAPACITY, present, all);
		List<Replica> tooFew = present.subList(0, 2);
		assertThat(PLACEMENT.computeChanges(tooFew, new PlacementContext(all, (engine) -> true, false))).isNotEmpty();
	}

	/**
	 * Guards against a decision on many empty engines that holds up the event loop, and
	 * against engines that get layers without regard to the flow since they are left to
	 * the next decision.
	 */
	@Test
	void oneDecisionPlacesFewEnginesByFlowAndTheNextOnesTheRest() {
		List<Replica> all = placedFleet();
		List<Replica> lost = all.stream().filter((engine) -> isKind(engine, "medium")).limit(6).toList();
		List<Replica> present = new ArrayList<>(all);
		present.removeAll(lost);
		lost.forEach((engine) -> present.add(renamed(engine, "new-" + engine.id())));
		List<Replica> byHolders = apply(present,
				LayerPlacement.computeChanges(present, LARGE, unsettled(lost))
					.entrySet()
					.stream()
					.collect(Collectors.toMap(Map.Entry::getKey,
							(entry) -> new PlacementChange(entry.getValue(), Reason.HOLDERS, 0))));
		Map<String, PlacementChange> first = PLACEMENT.computeChanges(present, unsettled(lost));
		assertThat(first).hasSize(4);
		assertThat(first.values()).allMatch((change) -> change.reason() == Reason.FLOW);
		List<Replica> missing = new ArrayList<>(lost);
		for (PlacementChange change : first.values()) {
			missing.stream()
				.filter((engine) -> engine.layers().equals(Optional.of(change.layers())))
				.findFirst()
				.ifPresent(missing::remove);
		}
		List<Replica> then = apply(present, first);
		Map<String, PlacementChange> second = PLACEMENT.computeChanges(then, unsettled(missing));
		assertThat(second).hasSize(2);
		assertThat(CAPACITY.requestsPerSecond(apply(then, second)))
			.isGreaterThanOrEqualTo(CAPACITY.requestsPerSecond(byHolders));
	}

	private static void assertServesAsMuchAsByHolders(FlowPlacement placement, FlowCapacity capacity,
			List<Replica> present, List<Replica> lost) {
		List<Replica> byHolders = new ArrayList<>();
		Map<String, LayerRange> ranges = LayerPlacement.computeChanges(present, capacity.profile(), unsettled(lost));
		present.forEach((engine) -> byHolders.add(engine.withLayers(Optional.ofNullable(ranges.get(engine.id())))));
		double rate = capacity.requestsPerSecond(apply(present, placement.computeChanges(present, unsettled(lost))));
		assertThat(rate).isPositive().isGreaterThanOrEqualTo(capacity.requestsPerSecond(byHolders));
	}

	private static List<Replica> placedFleet() {
		List<Replica> empty = new ArrayList<>();
		for (int index = 0; index < 33; index++) {
			String kind = List.of("fast", "medium", "medium", "slow", "slow", "slow").get(index % 6);
			empty.add(TestReplicas.emptyEngine("e" + index, "ghent", kind));
		}
		Map<String, LayerRange> ranges = PipelinePartition.partition(empty, LARGE);
		return empty.stream()
			.filter((engine) -> ranges.containsKey(engine.id()))
			.map((engine) -> engine.withLayers(Optional.of(ranges.get(engine.id()))))
			.toList();
	}

	private static PlacementContext unsettled(List<Replica> departed) {
		return new PlacementContext(departed, (engine) -> false, false);
	}

	private static List<Replica> apply(List<Replica> engines, Map<String, PlacementChange> changes) {
		return new ArrayList<>(engines.stream()
			.map((engine) -> changes.containsKey(engine.id())
					? engine.withLayers(Optional.of(changes.get(engine.id()).layers())) : engine)
			.toList());
	}

	private static boolean isKind(Replica engine, String kind) {
		return engine.acceleratorKind().equals(Optional.of(kind));
	}

	private static Replica renamed(Replica engine, String id) {
		return TestReplicas.emptyEngine(id, "ghent", engine.acceleratorKind().orElseThrow());
	}

	private static Replica engine(String id, String kind, int from, int to) {
		return TestReplicas.engine(id, "ghent", kind, from, to);
	}

}
