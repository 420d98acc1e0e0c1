package org.burdocktray.standins.engine;

import java.util.List;

/**
 * The start options of an engine. Thread safety: immutable.
 *
 * @param upstream the name of the upstream
 * @param model the name of the model
 * @param modelVersion the version of the model
 * @param adapters the loaded adapters
 * @param fromLayer the first layer
 * @param toLayer the end of the layer range, exclusive
 * @param tokensPerSecond the number of positions that all streams together run per
 * second; 0 for no limit
 * @param stepMillis the min duration of a step
 * @param maxStreams the max number of concurrent streams of which the engine is the head
 * @param checksFencing whether an order with an outdated fencing number is refused
 * @param stepTimeoutMillis the timeout for a step at one later stage
 * @param retentionMillis the time for which the state of a stream is kept after its last
 * step
 */
public record EngineOptions(String upstream, String model, String modelVersion, List<String> adapters, int fromLayer,
		int toLayer, double tokensPerSecond, long stepMillis, int maxStreams, boolean checksFencing,
		long stepTimeoutMillis, long retentionMillis) {

	private static final int DEFAULT_MAX_STREAMS = 256;

	private static final long DEFAULT_STEP_TIMEOUT_MILLIS = 1_000;

	private static final long DEFAULT_RETENTION_MILLIS = 30_000;

	/**
	 * Creates the options of an engine that has no rate limit and checks fencing numbers.
	 * @param upstream the name of the upstream
	 * @param model the name of the model
	 * @param modelVersion the version of the model
	 * @param fromLayer the first layer
	 * @param toLayer the end of the layer range, exclusive
	 * @return the options
	 */
	public static EngineOptions of(String upstream, String model, String modelVersion, int fromLayer, int toLayer) {
		return new EngineOptions(upstream, model, modelVersion, List.of(), fromLayer, toLayer, 0, 0,
				DEFAULT_MAX_STREAMS, true, DEFAULT_STEP_TIMEOUT_MILLIS, DEFAULT_RETENTION_MILLIS);
	}

	/**
	 * Returns a copy with other adapters.
	 * @param loadedAdapters the loaded adapters
	 * @return the copy
	 */
	public EngineOptions withAdapters(List<String> loadedAdapters) {
		return new EngineOptions(this.upstream, this.model, this.modelVersion, List.copyOf(loadedAdapters),
				this.fromLayer, this.toLayer, this.tokensPerSecond, this.stepMillis, this.maxStreams,
				this.checksFencing, this.stepTimeoutMillis, this.retentionMillis);
	}

	/**
	 * Returns a copy with another rate.
	 * @param positionsPerSecond the number of positions per second; 0 for no limit
	 * @param minStepMillis the min duration of a step
	 * @return the copy
	 */
	public EngineOptions withRate(double positionsPerSecond, long minStepMillis) {
		return new EngineOptions(this.upstream, this.model, this.modelVersion, this.adapters, this.fromLayer,
				this.toLayer, positionsPerSecond, minStepMillis, this.maxStreams, this.checksFencing,
				this.stepTimeoutMillis, this.retentionMillis);
	}

	/**
	 * Returns a copy with another limit of concurrent streams.
	 * @param streamLimit the max number of streams
	 * @return the copy
	 */
	public EngineOptions withMaxStreams(int streamLimit) {
		return new EngineOptions(this.upstream, this.model, this.modelVersion, this.adapters, this.fromLayer,
				this.toLayer, this.tokensPerSecond, this.stepMillis, streamLimit, this.checksFencing,
				this.stepTimeoutMillis, this.retentionMillis);
	}

	/**
	 * Returns a copy that checks fencing numbers or not.
	 * @param isFencingChecked whether an order with an outdated fencing number is refused
	 * @return the copy
	 */
	public EngineOptions withChecksFencing(boolean isFencingChecked) {
		return new EngineOptions(this.upstream, this.model, this.modelVersion, this.adapters, this.fromLayer,
				this.toLayer, this.tokensPerSecond, this.stepMillis, this.maxStreams, isFencingChecked,
				this.stepTimeoutMillis, this.retentionMillis);
	}

	/**
	 * Returns a copy with other time limits.
	 * @param newStepTimeoutMillis the timeout in milliseconds for a step at one later
	 * stage
	 * @param newRetentionMillis the time in milliseconds for which a stream's state is
	 * kept after its last step
	 * @return the copy
	 */
	public EngineOptions withTimeouts(long newStepTimeoutMillis, long newRetentionMillis) {
		return new EngineOptions(this.upstream, this.model, this.modelVersion, this.adapters, this.fromLayer,
				this.toLayer, this.tokensPerSecond, this.stepMillis, this.maxStreams, this.checksFencing,
				newStepTimeoutMillis, newRetentionMillis);
	}

}
