package org.burdocktray.process.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

import org.burdocktray.process.directory.LayerRange;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.version.rules.AcceleratorKind;
import org.burdocktray.version.rules.EngineProfile;

/**
 * Decides which layers each engine of one data centre holds. Engines that hold layers
 * keep them; engines without layers get some assigned. If no engine holds layers, the
 * engines are partitioned into pipelines: sorted by speed, so that a pipeline consists of
 * engines of similar speed, and cut where the sum of cached tokens divided by the time
 * per token is highest. Invariants: no engine gets more layers than fit into its memory;
 * the result is deterministic. Thread safety: stateless.
 */
public final class LayerPlacement {

	/** Typical requests whose KV cache must fit beside the layers of an engine. */
	private static final double MIN_REQUESTS = 4;

	/** Typical requests whose KV cache must fit beside the layers that fill a gap. */
	private static final double MIN_GAP_REQUESTS = 12;

	private LayerPlacement() {
	}

	/**
	 * Computes the layers of the engines that have to load other layers.
	 * @param engines the engines of one data centre that are not draining
	 * @param profile the memory and speed of the engines
	 * @param context the engines that left recently, and which changes are allowed
	 * @return the new layers by engine id; engines that keep their layers are missing
	 */
	public static Map<String, LayerRange> computeChanges(List<Replica> engines, EngineProfile profile,
			PlacementContext context) {
		List<Replica> supported = engines.stream()
			.filter((engine) -> engine.acceleratorKind().flatMap(profile::kind).isPresent())
			.sorted(Comparator.comparing(Replica::id))
			.toList();
		boolean hasNoLayers = supported.stream().allMatch((engine) -> engine.layers().isEmpty());
		Map<String, LayerRange> changes = new LinkedHashMap<>();
		if (hasNoLayers) {
			changes.putAll(PipelinePartition.partition(supported, profile));
		}
		List<Replica> placed = new ArrayList<>();
		List<Replica> unplaced = new ArrayList<>();
		for (Replica engine : supported) {
			Optional<LayerRange> range = engine.layers().or(() -> Optional.ofNullable(changes.get(engine.id())));
			range.ifPresentOrElse((layers) -> placed.add(engine.withLayers(Optional.of(layers))),
					() -> unplaced.add(engine));
		}
		changes.putAll(assignDepartedRanges(placed, unplaced, context.departed()));
		changes.putAll(assignUnplaced(placed, unplaced, profile, context.isSettled()));
		if (unplaced.isEmpty() && context.canMoveEngines()) {
			changes.putAll(moveRedundantEngine(placed, profile));
		}
		return changes;
	}

	/**
	 * Returns whether at least one layer is held by no engine.
	 * @param engines the engines of one data centre that are not draining
	 * @param profile the memory and speed of the engines
	 * @return true if no path through the engines covers all layers
	 */
	public static boolean hasUnassignedLayers(List<Replica> engines, EngineProfile profile) {
		List<Replica> placed = engines.stream().filter((engine) -> engine.layers().isPresent()).toList();
		return Arrays.stream(countHolders(placed, profile)).anyMatch((count) -> count == 0);
	}

	// Assigns to engines without layers those of departed engines of the same accelerator
	// kind. An engine that restarted gets the layers back that it held before.
	private static Map<String, LayerRange> assignDepartedRanges(List<Replica> placed, List<Replica> unplaced,
			List<Replica> departed) {
		Map<String, LayerRange> result = new LinkedHashMap<>();
		List<Replica> available = new ArrayList<>(departed);
		for (Replica engine : List.copyOf(unplaced)) {
			Optional<Replica> predecessor = available.stream()
				.filter((candidate) -> candidate.acceleratorKind().equals(engine.acceleratorKind()))
				.min(Comparator.comparing((Replica candidate) -> !candidate.id().equals(engine.id())));
			predecessor.ifPresent((candidate) -> {
				available.remove(candidate);
				unplaced.remove(engine);
				placed.add(engine.withLayers(candidate.layers()));
				result.put(engine.id(), candidate.layers().orElseThrow());
			});
		}
		return result;
	}

	// Assigns to each engine without layers those with the least free capacity.
	private static Map<String, LayerRange> assignUnplaced(List<Replica> placed, List<Replica> unplaced,
			EngineProfile profile, Predicate<Replica> isSettled) {
		Map<String, LayerRange> result = new LinkedHashMap<>();
		double tokens = typicalTokens(placed, profile);
		for (Replica engine : unplaced) {
			chooseRange(engine, placed, tokens, profile, isSettled.test(engine)).ifPresent((range) -> {
				result.put(engine.id(), range);
				placed.add(engine.withLayers(Optional.of(range)));
			});
		}
		return result;
	}

	// The layers of a departed engine are held by fewer engines than the other layers. A
	// new engine gets exactly these if they fit, so that pipelines stay complete. Other
	// layers are assigned to settled engines only.
	private static Optional<LayerRange> chooseRange(Replica engine, List<Replica> placed, double tokens,
			EngineProfile profile, boolean isSettled) {
		int typicalSize = profile.layersThatFit(kind(engine, profile), tokens);
		int maxGapSize = profile.layersThatFit(kind(engine, profile),
				MIN_GAP_REQUESTS * profile.typicalRequestTokens());
		Optional<LayerRange> gap = findGap(placed, profile);
		if (gap.isPresent() && gap.get().size() <= maxGapSize) {
			return gap;
		}
		return (typicalSize > 0 && isSettled) ? Optional.of(findLeastServedRange(placed, typicalSize, profile))
				: Optional.empty();
	}

	// Finds the longest run of consecutive layers with the lowest number of holders. It
	// is empty if all layers have the same number of holders.
	private static Optional<LayerRange> findGap(List<Replica> placed, EngineProfile profile) {
		int[] holders = countHolders(placed, profile);
		int minimum = Arrays.stream(holders).min().orElse(0);
		if (Arrays.stream(holders).allMatch((count) -> count == minimum)) {
			return Optional.empty();
		}
		LayerRange longest = null;
		int from = 0;
		for (int layer = 0; layer <= holders.length; layer++) {
			if (layer < holders.length && holders[layer] == minimum) {
				continue;
			}
			if (layer > from && (longest == null || layer - from > longest.size())) {
				longest = new LayerRange(from, layer);
			}
			from = layer + 1;
		}
		return Optional.ofNullable(longest);
	}

	private static double typicalTokens(List<Replica> placed, EngineProfile profile) {
		double[] tokens = placed.stream().mapToDouble((engine) -> cacheTokens(engine, profile)).sorted().toArray();
		double minimum = MIN_REQUESTS * profile.typicalRequestTokens();
		return (tokens.length > 0) ? Math.max(minimum, tokens[tokens.length / 2]) : minimum;
	}

	// Finds the consecutive layers whose holders together have the lowest throughput.
	private static LayerRange findLeastServedRange(List<Replica> placed, int size, EngineProfile profile) {
		double[] weights = new double[profile.layers()];
		for (int layer = 0; layer < weights.length; layer++) {
			weights[layer] = 1 / (1 + layerThroughput(placed, layer, profile) / profile.typicalRequestTokens());
		}
		int best = 0;
		double bestSum = -1;
		for (int from = 0; from + size <= weights.length; from++) {
			double sum = 0;
			for (int layer = from; layer < from + size; layer++) {
				sum += weights[layer];
			}
			if (sum > bestSum + 1e-9) {
				best = from;
				bestSum = sum;
			}
		}
		return new LayerRange(best, best + size);
	}

	// Moves one engine whose layers are all held by other engines too to layers that no
	// engine holds. An engine serves no requests while it moves, so engines are moved for
	// no other reason.
	private static Map<String, LayerRange> moveRedundantEngine(List<Replica> placed, EngineProfile profile) {
		int[] holders = countHolders(placed, profile);
		if (Arrays.stream(holders).allMatch((count) -> count > 0)) {
			return Map.of();
		}
		Optional<Replica> redundant = placed.stream()
			.filter((engine) -> minHolders(engine, holders) > 1)
			.max(Comparator.comparingDouble((Replica engine) -> kind(engine, profile).stepFactor())
				.thenComparing(Replica::id));
		if (redundant.isEmpty()) {
			return Map.of();
		}
		List<Replica> remaining = others(placed, redundant.get());
		return chooseRange(redundant.get(), remaining, typicalTokens(remaining, profile), profile, true)
			.map((range) -> Map.of(redundant.get().id(), range))
			.orElse(Map.of());
	}

	private static int minHolders(Replica engine, int[] holders) {
		LayerRange range = engine.layers().orElseThrow();
		return Arrays.stream(holders, range.from(), range.to()).min().orElse(0);
	}

	private static int[] countHolders(List<Replica> placed, EngineProfile profile) {
		int[] holders = new int[profile.layers()];
		for (Replica engine : placed) {
			LayerRange range = engine.layers().orElseThrow();
			for (int layer = range.from(); layer < Math.min(range.to(), holders.length); layer++) {
				holders[layer]++;
			}
		}
		return holders;
	}

	private static List<Replica> others(List<Replica> placed, Replica engine) {
		return placed.stream().filter((other) -> !other.id().equals(engine.id())).toList();
	}

	private static double layerThroughput(List<Replica> placed, int layer, EngineProfile profile) {
		return placed.stream()
			.filter((engine) -> engine.layers().orElseThrow().contains(layer))
			.mapToDouble((engine) -> cacheTokens(engine, profile) / kind(engine, profile).stepFactor())
			.sum();
	}

	private static double cacheTokens(Replica engine, EngineProfile profile) {
		int size = engine.layers().orElseThrow().size();
		return profile.kvTokenLayers(kind(engine, profile), size) / size;
	}

	private static AcceleratorKind kind(Replica engine, EngineProfile profile) {
		return engine.acceleratorKind().flatMap(profile::kind).orElseThrow();
	}

}
