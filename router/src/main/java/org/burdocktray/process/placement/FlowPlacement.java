package org.burdocktray.process.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.burdocktray.process.balance.FlowCapacity;
import org.burdocktray.process.directory.LayerRange;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.process.placement.PlacementChange.Reason;
import org.burdocktray.version.rules.AcceleratorKind;
import org.burdocktray.version.rules.EngineProfile;

/**
 * Decides which layers engines without any get, by the flow that they add. An engine that
 * has restarted gets back what it held, since the others of its group are expected as
 * well. Another one is given at once the layers that add most to the flow for each layer
 * loaded, whether or not an engine that held them is expected back. What adds nothing to
 * the flow is left to {@link LayerPlacement}, whose changes are taken as a whole if the
 * engines present serve more with them. Invariants: no engine gets more layers than fit
 * into its memory; engines that hold layers keep them, but for what
 * {@link LayerPlacement} moves; the result is deterministic, and its order is that in
 * which orders should be sent. Thread safety: immutable.
 */
public final class FlowPlacement {

	/** Typical requests whose KV cache must fit beside the layers of an engine. */
	private static final double MIN_REQUESTS = 12;

	/** A smaller part of the flow is within the error of the estimate. */
	private static final double MIN_GAIN_SHARE = 0.02;

	/** Excludes differences by rounding. */
	private static final double MIN_GAIN_PER_SECOND = 0.001;

	/**
	 * How much a gain counts that needs the other lost engines to return. It may not
	 * outweigh a similar gain that is certain.
	 */
	private static final double EXPECTED_GAIN_WEIGHT = 0.5;

	/** Each considered range costs several solutions of the flow. */
	private static final int MAX_HELD_RANGES = 16;

	/**
	 * Engines that one decision places by flow, which takes some milliseconds for each.
	 */
	private static final int MAX_PLACED_BY_FLOW = 4;

	private final EngineProfile profile;

	private final FlowCapacity capacity;

	/**
	 * Creates the placement of a service.
	 * @param capacity computes what engines can serve
	 */
	public FlowPlacement(FlowCapacity capacity) {
		this.profile = capacity.profile();
		this.capacity = capacity;
	}

	/**
	 * Computes the layers of the engines that have to load other layers.
	 * @param engines the engines of one data centre that are not draining
	 * @param context the engines that left recently, and which changes are allowed
	 * @return the changes by engine id, the most urgent first; missing are engines that
	 * keep their layers, and those left to the next decision, when these changes are made
	 */
	public Map<String, PlacementChange> computeChanges(List<Replica> engines, PlacementContext context) {
		PlacementContext valid = new PlacementContext(
				context.departed().stream().filter((engine) -> isSupported(engine) && isValid(engine)).toList(),
				context.isSettled(), context.canMoveEngines());
		State state = new State(engines, valid.departed());
		if (state.placed.isEmpty() && context.departed().isEmpty()) {
			return computeByHolders(engines, valid);
		}
		Map<String, PlacementChange> byHolders = computeByHolders(state.present(context.isSettled()), valid);
		boolean isGroupExpected = !state.placed.isEmpty() && !valid.departed().isEmpty();
		restore(state);
		boolean isComplete = assignByFlow(state, context.isSettled());
		Map<String, PlacementChange> byFlow = completeByHolders(state, valid);
		// Ranges that fit lost engines serve nothing if these do not return. Where others
		// still hold layers, a lost group mostly returns within seconds, one by one.
		if (!isGroupExpected && rate(engines, byHolders) > rate(engines, byFlow) + MIN_GAIN_PER_SECOND) {
			return byHolders;
		}
		return isComplete ? byFlow : state.changes;
	}

	private Map<String, PlacementChange> completeByHolders(State state, PlacementContext context) {
		Map<String, PlacementChange> result = new LinkedHashMap<>(state.changes);
		// The first engines of a group are worth nothing by themselves.
		boolean waitsForGroup = state.placed.isEmpty() && state.unplaced.stream().noneMatch(context.isSettled());
		if (!waitsForGroup) {
			PlacementContext rest = new PlacementContext(state.missing, context.isSettled(), context.canMoveEngines());
			computeByHolders(state.present(context.isSettled()), rest).forEach(result::putIfAbsent);
		}
		return result;
	}

	private Map<String, PlacementChange> computeByHolders(List<Replica> engines, PlacementContext context) {
		Map<String, PlacementChange> result = new LinkedHashMap<>();
		LayerPlacement.computeChanges(engines, this.profile, context)
			.forEach((id, range) -> result.put(id, new PlacementChange(range, Reason.HOLDERS, 0)));
		return result;
	}

	private double rate(List<Replica> engines, Map<String, PlacementChange> changes) {
		List<Replica> changed = new ArrayList<>();
		for (Replica engine : engines) {
			PlacementChange change = changes.get(engine.id());
			changed.add((change != null) ? engine.withLayers(Optional.of(change.layers())) : engine);
		}
		return this.capacity.requestsPerSecond(changed);
	}

	private void restore(State state) {
		for (Replica engine : List.copyOf(state.unplaced)) {
			state.missing.stream()
				.filter((departed) -> departed.id().equals(engine.id())
						&& departed.acceleratorKind().equals(engine.acceleratorKind()))
				.findFirst()
				.ifPresent((departed) -> {
					state.missing.remove(departed);
					state.place(engine, new PlacementChange(departed.layers().orElseThrow(), Reason.RESTARTED, 0));
				});
		}
	}

	// Returns false if engines are left to the next decision.
	private boolean assignByFlow(State state, Predicate<Replica> isSettled) {
		for (int count = 0; !state.unplaced.isEmpty(); count++) {
			if (count == MAX_PLACED_BY_FLOW) {
				return false;
			}
			Option best = null;
			double base = this.capacity.requestsPerSecond(state.placed);
			double expectedBase = expected(state, Optional.empty(), Optional.empty());
			Map<KindRange, Option> assessed = new HashMap<>();
			for (Replica engine : state.available(isSettled)) {
				for (LayerRange range : candidates(engine, state)) {
					Option option = assessed.computeIfAbsent(
							new KindRange(engine.acceleratorKind().orElseThrow(), range),
							(key) -> assess(engine, range, state, base, expectedBase));
					if (option.score() > Math.max(MIN_GAIN_PER_SECOND, MIN_GAIN_SHARE * base)
							&& (best == null || option.perLayer() > best.perLayer())) {
						best = option.forEngine(engine);
					}
				}
			}
			if (best == null) {
				return true;
			}
			LayerRange range = best.range();
			state.missing.stream()
				.filter((departed) -> departed.layers().orElseThrow().equals(range))
				.findFirst()
				.ifPresent(state.missing::remove);
			state.place(best.engine(), new PlacementChange(range, Reason.FLOW, best.gain()));
		}
		return true;
	}

	private Option assess(Replica engine, LayerRange range, State state, double base, double expectedBase) {
		Replica changed = engine.withLayers(Optional.of(range));
		List<Replica> with = new ArrayList<>(state.placed);
		with.add(changed);
		double gain = this.capacity.requestsPerSecond(with) - base;
		double expectedGain = state.missing.isEmpty() ? 0
				: expected(state, Optional.of(changed), Optional.of(range)) - expectedBase(state, range, expectedBase);
		return new Option(engine, range, gain, gain + EXPECTED_GAIN_WEIGHT * Math.max(0, expectedGain));
	}

	// The flow if the lost engines return, but for one that held a range.
	private double expectedBase(State state, LayerRange range, double expectedBase) {
		boolean isMissing = state.missing.stream()
			.anyMatch((departed) -> departed.layers().orElseThrow().equals(range));
		return isMissing ? expected(state, Optional.empty(), Optional.of(range)) : expectedBase;
	}

	private double expected(State state, Optional<Replica> added, Optional<LayerRange> without) {
		List<Replica> engines = new ArrayList<>(state.placed);
		boolean isLeftOut = without.isEmpty();
		for (Replica departed : state.missing) {
			if (!isLeftOut && departed.layers().equals(without)) {
				isLeftOut = true;
				continue;
			}
			engines.add(departed);
		}
		added.ifPresent(engines::add);
		return this.capacity.requestsPerSecond(engines);
	}

	// The ranges of lost engines and the layers that no engine holds, or else the
	// ranges of the slowest engines, each shortened to what fits.
	private Set<LayerRange> candidates(Replica engine, State state) {
		int maxSize = this.profile.layersThatFit(kind(engine), MIN_REQUESTS * this.profile.typicalRequestTokens());
		Set<LayerRange> result = new LinkedHashSet<>();
		if (maxSize < 1) {
			return result;
		}
		state.missing.forEach((departed) -> addFitting(departed.layers().orElseThrow(), maxSize, result));
		unheldRanges(state.placed).forEach((range) -> addFitting(range, maxSize, result));
		if (result.isEmpty()) {
			state.placed.stream()
				.sorted(Comparator.comparingDouble((Replica placed) -> -kind(placed).stepFactor())
					.thenComparing(Replica::id))
				.map((placed) -> placed.layers().orElseThrow())
				.distinct()
				.limit(MAX_HELD_RANGES)
				.forEach((range) -> addFitting(range, maxSize, result));
		}
		return result;
	}

	private void addFitting(LayerRange range, int maxSize, Set<LayerRange> result) {
		if (range.to() > this.profile.layers()) {
			return;
		}
		if (range.size() <= maxSize) {
			result.add(range);
			return;
		}
		result.add(new LayerRange(range.from(), range.from() + maxSize));
		result.add(new LayerRange(range.to() - maxSize, range.to()));
	}

	private List<LayerRange> unheldRanges(List<Replica> placed) {
		boolean[] isHeld = new boolean[this.profile.layers()];
		for (Replica engine : placed) {
			LayerRange held = engine.layers().orElseThrow();
			for (int layer = held.from(); layer < Math.min(held.to(), isHeld.length); layer++) {
				isHeld[layer] = true;
			}
		}
		List<LayerRange> result = new ArrayList<>();
		int from = 0;
		for (int layer = 0; layer <= isHeld.length; layer++) {
			if (layer < isHeld.length && !isHeld[layer]) {
				continue;
			}
			if (layer > from) {
				result.add(new LayerRange(from, layer));
			}
			from = layer + 1;
		}
		return result;
	}

	private boolean isSupported(Replica engine) {
		return engine.acceleratorKind().flatMap(this.profile::kind).isPresent();
	}

	// The profile may have changed since the engine got its layers.
	private boolean isValid(Replica engine) {
		LayerRange range = engine.layers().orElseThrow();
		return range.to() <= this.profile.layers() && range.size() <= this.profile.layersThatFit(kind(engine), 0);
	}

	private AcceleratorKind kind(Replica engine) {
		return engine.acceleratorKind().flatMap(this.profile::kind).orElseThrow();
	}

	/**
	 * The placement as far as it is decided. Thread safety: none.
	 */
	private final class State {

		private final List<Replica> placed = new ArrayList<>();

		private final List<Replica> unplaced = new ArrayList<>();

		/** Engines that have left and were not replaced. */
		private final List<Replica> missing;

		private final Map<String, PlacementChange> changes = new LinkedHashMap<>();

		State(List<Replica> engines, List<Replica> departed) {
			engines.stream()
				.filter(FlowPlacement.this::isSupported)
				.sorted(Comparator.comparing(Replica::id))
				.forEach((engine) -> (engine.layers().isPresent() ? this.placed : this.unplaced).add(engine));
			this.missing = new ArrayList<>(departed);
		}

		// Engines without layers that may get some now. A new one may be the successor of
		// an engine that is about to leave, whose layers may then be held by nobody else;
		// it waits for that unless layers are missing already.
		List<Replica> available(Predicate<Replica> isSettled) {
			boolean isAnyLost = !this.missing.isEmpty() || !unheldRanges(this.placed).isEmpty();
			return isAnyLost ? this.unplaced : this.unplaced.stream().filter(isSettled).toList();
		}

		List<Replica> present(Predicate<Replica> isSettled) {
			List<Replica> result = new ArrayList<>(this.placed);
			result.addAll(available(isSettled));
			return result;
		}

		void place(Replica engine, PlacementChange change) {
			this.unplaced.remove(engine);
			this.placed.add(engine.withLayers(Optional.of(change.layers())));
			this.changes.put(engine.id(), change);
		}

	}

	private record KindRange(String kind, LayerRange range) {

	}

	private record Option(Replica engine, LayerRange range, double gain, double score) {

		// Engines of one kind share an assessment.
		Option forEngine(Replica other) {
			return new Option(other, this.range, this.gain, this.score);
		}

		double perLayer() {
			return this.score / this.range.size();
		}

	}

}
