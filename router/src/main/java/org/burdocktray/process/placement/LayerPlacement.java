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
 * Decides the layers of the engines of one data centre. Engines that hold layers keep
 * them; those that hold none are given some. When none holds any, the engines are split
 * into chains: sorted by speed, so that a chain has engines of like speed, and cut where
 * the sum of tokens in the cache over the time of a token is highest. Invariants: no
 * engine is given more layers than its memory holds; the same engines give the same
 * placement. Thread safety: stateless.
 */
public final class LayerPlacement {

	/** An engine that is given layers has room for this many requests beside them. */
	private static final double MIN_REQUESTS = 4;

	/** An engine that fills a gap has room for this many requests beside its layers. */
	private static final double MIN_GAP_REQUESTS = 12;

	private LayerPlacement() {
	}

	/**
	 * Decides the layers.
	 * @param engines the engines of one data centre that are not leaving
	 * @param profile how they behave
	 * @param replacement what is known of engines that left and came
	 * @return the layers by id of the engines that must change
	 */
	public static Map<String, LayerRange> computeChanges(List<Replica> engines, EngineProfile profile,
			PlacementContext replacement) {
		List<Replica> known = engines.stream()
			.filter((engine) -> engine.acceleratorKind().flatMap(profile::kind).isPresent())
			.sorted(Comparator.comparing(Replica::id))
			.toList();
		boolean isEmpty = known.stream().allMatch((engine) -> engine.layers().isEmpty());
		Map<String, LayerRange> changes = new LinkedHashMap<>();
		if (isEmpty) {
			changes.putAll(PipelinePartition.partition(known, profile));
		}
		List<Replica> held = new ArrayList<>();
		List<Replica> spare = new ArrayList<>();
		for (Replica engine : known) {
			Optional<LayerRange> range = engine.layers().or(() -> Optional.ofNullable(changes.get(engine.id())));
			range.ifPresentOrElse((layers) -> held.add(engine.withLayers(Optional.of(layers))),
					() -> spare.add(engine));
		}
		changes.putAll(succeed(held, spare, replacement.departed()));
		changes.putAll(fill(held, spare, profile, replacement.isSettled()));
		if (spare.isEmpty() && replacement.canMoveEngines()) {
			changes.putAll(repair(held, profile));
		}
		return changes;
	}

	/**
	 * Tells whether nobody holds some layer.
	 * @param engines the engines of one data centre that are not leaving
	 * @param profile how they behave
	 * @return whether no path of them runs all layers
	 */
	public static boolean hasUnassignedLayers(List<Replica> engines, EngineProfile profile) {
		List<Replica> held = engines.stream().filter((engine) -> engine.layers().isPresent()).toList();
		return Arrays.stream(holders(held, profile)).anyMatch((count) -> count == 0);
	}

	// Gives engines without layers those of engines of their kind that left, first those
	// that they held themselves before a restart.
	private static Map<String, LayerRange> succeed(List<Replica> held, List<Replica> spare, List<Replica> left) {
		Map<String, LayerRange> result = new LinkedHashMap<>();
		List<Replica> open = new ArrayList<>(left);
		for (Replica engine : List.copyOf(spare)) {
			Optional<Replica> predecessor = open.stream()
				.filter((gone) -> gone.acceleratorKind().equals(engine.acceleratorKind()))
				.min(Comparator.comparing((Replica gone) -> !gone.id().equals(engine.id())));
			predecessor.ifPresent((gone) -> {
				open.remove(gone);
				spare.remove(engine);
				held.add(engine.withLayers(gone.layers()));
				result.put(engine.id(), gone.layers().orElseThrow());
			});
		}
		return result;
	}

	// Gives each engine without layers those for which there is the least room.
	private static Map<String, LayerRange> fill(List<Replica> held, List<Replica> spare, EngineProfile profile,
			Predicate<Replica> isSettled) {
		Map<String, LayerRange> result = new LinkedHashMap<>();
		double tokens = typicalTokens(held, profile);
		for (Replica engine : spare) {
			rangeFor(engine, held, tokens, profile, isSettled.test(engine)).ifPresent((range) -> {
				result.put(engine.id(), range);
				held.add(engine.withLayers(Optional.of(range)));
			});
		}
		return result;
	}

	// An engine that was replaced leaves layers that fewer engines hold than the others.
	// The
	// new one takes just those where they fit, so that chains stay whole.
	private static Optional<LayerRange> rangeFor(Replica engine, List<Replica> held, double tokens,
			EngineProfile profile, boolean isSettled) {
		int usual = profile.layersThatFit(kind(engine, profile), tokens);
		int most = profile.layersThatFit(kind(engine, profile), MIN_GAP_REQUESTS * profile.typicalRequestTokens());
		Optional<LayerRange> gap = gap(held, profile);
		if (gap.isPresent() && gap.get().size() <= most) {
			return gap;
		}
		return (usual > 0 && isSettled) ? Optional.of(neediest(held, usual, profile)) : Optional.empty();
	}

	// Finds the longest run of layers that the fewest engines hold, unless all layers are
	// held equally often.
	private static Optional<LayerRange> gap(List<Replica> held, EngineProfile profile) {
		int[] holders = holders(held, profile);
		int least = Arrays.stream(holders).min().orElse(0);
		if (Arrays.stream(holders).allMatch((count) -> count == least)) {
			return Optional.empty();
		}
		LayerRange longest = null;
		int from = 0;
		for (int layer = 0; layer <= holders.length; layer++) {
			if (layer < holders.length && holders[layer] == least) {
				continue;
			}
			if (layer > from && (longest == null || layer - from > longest.size())) {
				longest = new LayerRange(from, layer);
			}
			from = layer + 1;
		}
		return Optional.ofNullable(longest);
	}

	private static double typicalTokens(List<Replica> held, EngineProfile profile) {
		double[] tokens = held.stream().mapToDouble((engine) -> roomTokens(engine, profile)).sorted().toArray();
		double least = MIN_REQUESTS * profile.typicalRequestTokens();
		return (tokens.length > 0) ? Math.max(least, tokens[tokens.length / 2]) : least;
	}

	// Finds the layers of which the engines that hold them can run the fewest requests in
	// a given time.
	private static LayerRange neediest(List<Replica> held, int size, EngineProfile profile) {
		double[] need = new double[profile.layers()];
		for (int layer = 0; layer < need.length; layer++) {
			need[layer] = 1 / (1 + layerPace(held, layer, profile) / profile.typicalRequestTokens());
		}
		int best = 0;
		double bestNeed = -1;
		for (int from = 0; from + size <= need.length; from++) {
			double sum = 0;
			for (int layer = from; layer < from + size; layer++) {
				sum += need[layer];
			}
			if (sum > bestNeed + 1e-9) {
				best = from;
				bestNeed = sum;
			}
		}
		return new LayerRange(best, best + size);
	}

	// Moves one engine whose layers others hold as well to layers that nobody holds. An
	// engine serves nothing while it moves, so this is done for no lesser gain.
	private static Map<String, LayerRange> repair(List<Replica> held, EngineProfile profile) {
		int[] holders = holders(held, profile);
		if (Arrays.stream(holders).allMatch((count) -> count > 0)) {
			return Map.of();
		}
		Optional<Replica> redundant = held.stream()
			.filter((engine) -> leastHolders(engine, holders) > 1)
			.max(Comparator.comparingDouble((Replica engine) -> kind(engine, profile).stepFactor())
				.thenComparing(Replica::id));
		if (redundant.isEmpty()) {
			return Map.of();
		}
		List<Replica> rest = others(held, redundant.get());
		return rangeFor(redundant.get(), rest, typicalTokens(rest, profile), profile, true)
			.map((range) -> Map.of(redundant.get().id(), range))
			.orElse(Map.of());
	}

	private static int leastHolders(Replica engine, int[] holders) {
		LayerRange range = engine.layers().orElseThrow();
		return Arrays.stream(holders, range.from(), range.to()).min().orElse(0);
	}

	private static int[] holders(List<Replica> held, EngineProfile profile) {
		int[] holders = new int[profile.layers()];
		for (Replica engine : held) {
			LayerRange range = engine.layers().orElseThrow();
			for (int layer = range.from(); layer < Math.min(range.to(), holders.length); layer++) {
				holders[layer]++;
			}
		}
		return holders;
	}

	private static List<Replica> others(List<Replica> held, Replica engine) {
		return held.stream().filter((other) -> !other.id().equals(engine.id())).toList();
	}

	private static double layerPace(List<Replica> held, int layer, EngineProfile profile) {
		return held.stream()
			.filter((engine) -> engine.layers().orElseThrow().contains(layer))
			.mapToDouble((engine) -> roomTokens(engine, profile) / kind(engine, profile).stepFactor())
			.sum();
	}

	private static double roomTokens(Replica engine, EngineProfile profile) {
		int size = engine.layers().orElseThrow().size();
		return profile.kvTokenLayers(kind(engine, profile), size) / size;
	}

	private static AcceleratorKind kind(Replica engine, EngineProfile profile) {
		return engine.acceleratorKind().flatMap(profile::kind).orElseThrow();
	}

}
