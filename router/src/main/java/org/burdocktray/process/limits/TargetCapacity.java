package org.burdocktray.process.limits;

import java.util.List;

import org.burdocktray.version.bundle.Engine;
import org.burdocktray.version.bundle.Model;

/**
 * The capacity of the whole fleet for one target. Thread safety: immutable.
 *
 * @param concurrentStreams the maximum number of streams in progress
 * @param tokensPerSecond the rate at which it generates tokens with that many streams
 */
public record TargetCapacity(int concurrentStreams, double tokensPerSecond) {

	/**
	 * Computes the capacity of a model, which is that of the layer with the least
	 * capacity. Links are not considered.
	 * @param model the model
	 * @param engines the engines that hold layers of the model
	 * @return the capacity; zero if a layer is not held by any engine
	 */
	public static TargetCapacity of(Model model, List<Engine> engines) {
		int[] streams = new int[model.layers()];
		double[] tokens = new double[model.layers()];
		for (Engine engine : engines) {
			int toLayer = Math.min(engine.toLayer(), model.layers());
			for (int layer = Math.max(0, engine.fromLayer()); layer < toLayer; layer++) {
				streams[layer] += engine.maxConcurrentStreams();
				tokens[layer] += engine.tokensPerSecond();
			}
		}
		int fewestStreams = Integer.MAX_VALUE;
		double fewestTokens = Double.MAX_VALUE;
		for (int layer = 0; layer < model.layers(); layer++) {
			fewestStreams = Math.min(fewestStreams, streams[layer]);
			fewestTokens = Math.min(fewestTokens, tokens[layer]);
		}
		return new TargetCapacity(fewestStreams, fewestTokens);
	}

	/**
	 * Estimates how long a response holds its slot when all slots of the fleet are in
	 * use.
	 * @param outputTokens the number of tokens of the response
	 * @return the time in milliseconds, at least 1
	 */
	public long holdingMillis(int outputTokens) {
		if (this.tokensPerSecond <= 0) {
			return 1;
		}
		double seconds = outputTokens * this.concurrentStreams / this.tokensPerSecond;
		return Math.max(1, Math.round(seconds * 1000));
	}

}
