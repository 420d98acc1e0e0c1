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
 * Partitions engines without layers into pipelines that hold all layers each. The time
 * per token of a pipeline is the sum over its engines, so the engines are sorted by speed
 * and cut where the total throughput is highest. Invariant: the engines of a pipeline
 * hold each layer exactly once. Thread safety: stateless.
 */
final class PipelinePartition {

	/** Typical requests whose KV cache must fit into a pipeline. */
	private static final double MIN_REQUESTS = 4;

	private static final double TOKENS_PER_CONTEXT_UNIT = 1_000;

	private PipelinePartition() {
	}

	/**
	 * Partitions engines into pipelines.
	 * @param engines the engines of one data centre, all of a kind that the profile lists
	 * @param profile the memory and speed of the engines
	 * @return the layers by engine id; engines that belong to no pipeline are missing
	 */
	static Map<String, LayerRange> partition(List<Replica> engines, EngineProfile profile) {
		List<Replica> sorted = engines.stream()
			.sorted(Comparator.comparingDouble((Replica engine) -> kind(engine, profile).stepFactor())
				.thenComparing(Replica::id))
			.toList();
		int count = sorted.size();
		double[] best = new double[count + 1];
		int[] previous = new int[count + 1];
		boolean[] isPipeline = new boolean[count + 1];
		for (int end = 1; end <= count; end++) {
			best[end] = best[end - 1];
			previous[end] = end - 1;
			for (int start = 0; start < end; start++) {
				double value = best[start] + throughput(sorted.subList(start, end), profile);
				if (value > best[end]) {
					best[end] = value;
					previous[end] = start;
					isPipeline[end] = true;
				}
			}
		}
		Map<String, LayerRange> result = new HashMap<>();
		int end = count;
		while (end > 0) {
			if (isPipeline[end]) {
				result.putAll(layerRanges(sorted.subList(previous[end], end), profile));
			}
			end = previous[end];
		}
		return result;
	}

	// Estimates the tokens per second that a pipeline generates: the number of typical
	// requests that fit into its cache, divided by the time per token. Each additional
	// pipeline holds another copy of all weights, which leaves less memory for the cache.
	private static double throughput(List<Replica> engines, EngineProfile profile) {
		double tokens = maxTokens(engines, profile);
		double requests = Math.min(tokens / profile.typicalRequestTokens(), profile.maxSequences());
		if (requests < MIN_REQUESTS) {
			return 0;
		}
		double weightedLayers = 0;
		double layers = 0;
		for (Replica engine : engines) {
			int engineLayers = profile.layersThatFit(kind(engine, profile), tokens);
			weightedLayers += engineLayers * kind(engine, profile).stepFactor();
			layers += engineLayers;
		}
		double sequencesInStep = requests / engines.size();
		double stepMillis = profile.stepMillis() + profile.sequenceMillis() * sequencesInStep
				+ profile.contextMillis() * sequencesInStep * profile.typicalRequestTokens() / TOKENS_PER_CONTEXT_UNIT;
		return requests / (weightedLayers / layers * stepMillis);
	}

	// Finds the highest number of cached tokens for which all layers still fit into the
	// memory of the engines.
	private static double maxTokens(List<Replica> engines, EngineProfile profile) {
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

	private static Map<String, LayerRange> layerRanges(List<Replica> engines, EngineProfile profile) {
		double tokens = maxTokens(engines, profile);
		Map<String, LayerRange> result = new HashMap<>();
		int next = 0;
		for (Replica engine : engines) {
			int engineLayers = profile.layersThatFit(kind(engine, profile), tokens);
			int to = Math.min(profile.layers(), next + engineLayers);
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
