package org.burdocktray.standins.engine;

import java.util.List;

/**
 * What an engine is started with. Thread safety: immutable.
 *
 * @param upstream the name of the upstream
 * @param model the name of the model
 * @param modelVersion the version of the model
 * @param adapters the loaded adapters
 * @param fromLayer the first layer
 * @param toLayer the layer after the last one
 * @param tokensPerSecond the positions that are run in a second over all streams; 0 for
 * no limit
 * @param stepMillis the least time of a step
 * @param maxStreams the most streams of which the engine is the head at a time
 * @param checksFencing whether an order with an old fencing number is refused
 * @param stepTimeoutMillis the time that one later stage may take for a step
 * @param retentionMillis the time that the state of a stream is kept after its last step
 */
public record EngineOptions(String upstream, String model, String modelVersion, List<String> adapters, int fromLayer,
		int toLayer, double tokensPerSecond, long stepMillis, int maxStreams, boolean checksFencing,
		long stepTimeoutMillis, long retentionMillis) {

	private static final int DEFAULT_MAX_STREAMS = 256;

	private static final long DEFAULT_STEP_TIMEOUT_MILLIS = 1_000;

	private static final long DEFAULT_RETENTION_MILLIS = 30_000;

	/**
	 * Makes the options of an engine without a rate, which checks fencing numbers.
	 * @param upstream the name of the upstream
	 * @param model the name of the model
	 * @param modelVersion the version of the model
	 * @param fromLayer the first layer
	 * @param toLayer the layer after the last one
	 * @return the options
	 */
	public static EngineOptions of(String upstream, String model, String modelVersion, int fromLayer, int toLayer) {
		return new EngineOptions(upstream, model, modelVersion, List.of(), fromLayer, toLayer, 0, 0,
				DEFAULT_MAX_STREAMS, true, DEFAULT_STEP_TIMEOUT_MILLIS, DEFAULT_RETENTION_MILLIS);
	}

	/**
	 * Replaces the adapters.
	 * @param loaded the loaded adapters
	 * @return the new options
	 */
	public EngineOptions withAdapters(List<String> loaded) {
		return new EngineOptions(this.upstream, this.model, this.modelVersion, List.copyOf(loaded), this.fromLayer,
				this.toLayer, this.tokensPerSecond, this.stepMillis, this.maxStreams, this.checksFencing,
				this.stepTimeoutMillis, this.retentionMillis);
	}

	/**
	 * Replaces the pace.
	 * @param positionsPerSecond the positions that are run in a second; 0 for no limit
	 * @param leastStepMillis the least time of a step
	 * @return the new options
	 */
	public EngineOptions withRate(double positionsPerSecond, long leastStepMillis) {
		return new EngineOptions(this.upstream, this.model, this.modelVersion, this.adapters, this.fromLayer,
				this.toLayer, positionsPerSecond, leastStepMillis, this.maxStreams, this.checksFencing,
				this.stepTimeoutMillis, this.retentionMillis);
	}

	/**
	 * Replaces the most streams at a time.
	 * @param streams the most streams
	 * @return the new options
	 */
	public EngineOptions withMaxStreams(int streams) {
		return new EngineOptions(this.upstream, this.model, this.modelVersion, this.adapters, this.fromLayer,
				this.toLayer, this.tokensPerSecond, this.stepMillis, streams, this.checksFencing,
				this.stepTimeoutMillis, this.retentionMillis);
	}

	/**
	 * Replaces whether fencing numbers are checked.
	 * @param checks whether they are
	 * @return the new options
	 */
	public EngineOptions withChecksFencing(boolean checks) {
		return new EngineOptions(this.upstream, this.model, this.modelVersion, this.adapters, this.fromLayer,
				this.toLayer, this.tokensPerSecond, this.stepMillis, this.maxStreams, checks, this.stepTimeoutMillis,
				this.retentionMillis);
	}

	/**
	 * Replaces the times that bound a stream's state.
	 * @param stepTimeout the time in milliseconds that one later stage may take
	 * @param keep the time in milliseconds that a stream's state is kept
	 * @return the new options
	 */
	public EngineOptions withTimeouts(long stepTimeout, long keep) {
		return new EngineOptions(this.upstream, this.model, this.modelVersion, this.adapters, this.fromLayer,
				this.toLayer, this.tokensPerSecond, this.stepMillis, this.maxStreams, this.checksFencing, stepTimeout,
				keep);
	}

}
