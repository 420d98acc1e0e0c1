package org.burdocktray.process.placement;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.burdocktray.process.directory.LayerRange;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.version.rules.AcceleratorKind;
import org.burdocktray.version.rules.EngineProfile;

/**
 * Splits engines without layers into chains that hold all layers each. A chain is as slow
 * as its engines together, so the engines are sorted by speed and cut where the chains
 * are worth most. Invariant: the engines of a chain hold every layer once. Thread safety:
 * stateless.
 */
final class PipelinePartition {

	/** A chain has room for this many requests of usual size. */
	private static final double MIN_REQUESTS = 4;

	private static final double TOKENS_PER_CONTEXT_UNIT = 1_000;

	private PipelinePartition() {
	}

	/**
	 * Splits engines into chains. Engines that are in no chain are left out.
	 * @param engines the engines of one data centre, all of a kind that the profile lists
	 * @param profile how they behave
	 * @return the layers by id
	 */
	static Map<String, LayerRange> partition(List<Replica> engines, EngineProfile profile) {
		List<Replica> sorted = engines.stream()
			.sorted(Comparator.comparingDouble((Replica engine) -> kind(engine, profile).stepFactor())
				.thenComparing(Replica::id))
			.toList();
		int count = sorted.size();
		double[] best = new double[count + 1];
		int[] previous = new int[count + 1];
		boolean[] isChain = new boolean[count + 1];
		for (int end = 1; end <= count; end++) {
			best[end] = best[end - 1];
			previous[end] = end - 1;
			for (int start = 0; start < end; start++) {
				double value = best[start] + chainValue(sorted.subList(start, end), profile);
				if (value > best[end]) {
					best[end] = value;
					previous[end] = start;
					isChain[end] = true;
				}
			}
		}
		Map<String, LayerRange> result = new HashMap<>();
		int end = count;
		while (end > 0) {
			if (isChain[end]) {
				result.putAll(chain(sorted.subList(previous[end], end), profile));
			}
			end = previous[end];
		}
		return result;
	}

	// Values a chain by the tokens a second that it can write: those it can keep in its
	// cache, in requests of usual size, over the time of one token. Each further chain
	// holds all weights once more, and what they take is missing in the cache.
	private static double chainValue(List<Replica> engines, EngineProfile profile) {
		double tokens = chainTokens(engines, profile);
		double requests = Math.min(tokens / profile.typicalRequestTokens(), profile.maxSequences());
		if (requests < MIN_REQUESTS) {
			return 0;
		}
		double tokenMillis = 0;
		double layers = 0;
		for (Replica engine : engines) {
			int fit = profile.layersThatFit(kind(engine, profile), tokens);
			tokenMillis += fit * kind(engine, profile).stepFactor();
			layers += fit;
		}
		double sequencesInStep = requests / engines.size();
		double step = profile.stepMillis() + profile.sequenceMillis() * sequencesInStep
				+ profile.contextMillis() * sequencesInStep * profile.typicalRequestTokens() / TOKENS_PER_CONTEXT_UNIT;
		return requests / (tokenMillis / layers * step);
	}

	// The most tokens for which the engines together hold all layers.
	private static double chainTokens(List<Replica> engines, EngineProfile profile) {
		double low = 0;
		double high = engines.stream().mapToDouble((engine) -> kind(engine, profile).memoryMegabytes()).sum()
				/ profile.kvMegabytesPerTokenLayer();
		if (fittingLayers(engines, profile, low) < profile.layers()) {
			return 0;
		}
		while (high - low > 1) {
			double middle = (low + high) / 2;
			if (fittingLayers(engines, profile, middle) >= profile.layers()) {
				low = middle;
			}
			else {
				high = middle;
			}
		}
		return low;
	}

	private static int fittingLayers(List<Replica> engines, EngineProfile profile, double tokens) {
		return engines.stream().mapToInt((engine) -> profile.layersThatFit(kind(engine, profile), tokens)).sum();
	}

	private static Map<String, LayerRange> chain(List<Replica> engines, EngineProfile profile) {
		double tokens = chainTokens(engines, profile);
		Map<String, LayerRange> result = new HashMap<>();
		int next = 0;
		for (Replica engine : engines) {
			int fit = profile.layersThatFit(kind(engine, profile), tokens);
			int to = Math.min(profile.layers(), next + fit);
			if (to > next) {
				result.put(engine.id(), new LayerRange(next, to));
			}
			next = to;
		}
		return result;
	}

	private static AcceleratorKind kind(Replica engine, EngineProfile profile) {
		return engine.acceleratorKind().flatMap(profile::kind).orElseThrow();
	}

}
