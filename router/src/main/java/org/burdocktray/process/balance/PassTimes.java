package org.burdocktray.process.balance;

import org.burdocktray.version.rules.EngineProfile;

/**
 * Times of the passes of a path, and the rate of requests that it bears. The step factor
 * of a path is the mean of the step factors of its engines, weighted by their layers.
 * Thread safety: immutable.
 *
 * @param profile the performance profile of the engines
 */
public record PassTimes(EngineProfile profile) {

	/**
	 * The share of the targets that the mean times of a path may take, so that requests
	 * of more than the mean length are on time as well.
	 */
	private static final double TARGET_SHARE = 0.9;

	/** The share of the KV cache and slots that may be in use on average. */
	private static final double MAX_FILL = 0.75;

	/**
	 * The share of the passes that may read prompts on average. Arrivals are random, so
	 * prompts queue for more than one pass above it.
	 */
	private static final double MAX_PREFILL_SHARE = 0.6;

	/** Requests arrive in the middle of a pass on average. */
	private static final double MEAN_WAIT_PASSES = 0.5;

	/** Bounds the rate where a profile states times of 0. */
	private static final double MAX_RATE = 1e6;

	private static final double MILLIS_PER_SECOND = 1_000;

	private static final double TOKENS_PER_CONTEXT_UNIT = 1_000;

	/**
	 * Returns the time of a decoding step over all layers at step factor 1.
	 * @param sequences the number of requests in the step
	 * @return milliseconds
	 */
	public double stepMillis(double sequences) {
		return this.profile.stepMillis() + sequences * millisPerSequence();
	}

	/**
	 * Returns the time by which a pass takes longer at prefill factor 1 because it reads
	 * prompts.
	 * @param promptTokens the prompt tokens that wait
	 * @return milliseconds
	 */
	public double prefillMillis(double promptTokens) {
		return MILLIS_PER_SECOND * Math.min(promptTokens, this.profile.promptTokensPerPass())
				/ this.profile.prefillTokensPerSecond();
	}

	/**
	 * Returns the number of passes after which the first event of a request is expected.
	 * @param promptTokens the prompt tokens that are read until then, including those of
	 * requests before it
	 * @return the mean number of passes, 1 or more
	 */
	public double firstEventPasses(double promptTokens) {
		return MEAN_WAIT_PASSES + Math.max(1, Math.ceil(promptTokens / this.profile.promptTokensPerPass()));
	}

	/**
	 * Returns the rate of new typical requests that a path bears within its targets.
	 * @param stepFactor the step factor of the path
	 * @param prefillFactor the prefill factor of the path
	 * @param kvTokens the tokens that its KV cache holds
	 * @param slots the number of requests that it processes concurrently
	 * @param targets the targets
	 * @return requests per second, 0 if the path misses the targets when it is idle
	 */
	public double requestsPerSecond(double stepFactor, double prefillFactor, double kvTokens, double slots,
			StreamTargets targets) {
		int promptTokens = Math.max(1, this.profile.typicalPromptTokens());
		int outputTokens = Math.max(1, this.profile.typicalOutputTokens());
		double passes = firstEventPasses(promptTokens);
		double maxPassMillis = TARGET_SHARE * Math.min(targets.eventGapMillis(), targets.firstEventMillis() / passes);
		double prefillMillis = prefillFactor * prefillMillis(promptTokens);
		double maxStepMillis = (maxPassMillis - prefillMillis) / this.profile.stepsPerPass() / stepFactor;
		double byTargets = (maxStepMillis - this.profile.stepMillis()) / Math.max(1e-9, millisPerSequence());
		double byMemory = MAX_FILL * Math.min(slots, kvTokens / (promptTokens + outputTokens));
		double sequences = Math.min(byTargets, byMemory);
		if (sequences < 1) {
			return 0;
		}
		double stepMillis = stepFactor * stepMillis(sequences);
		double passMillis = this.profile.stepsPerPass() * stepMillis + prefillMillis;
		double durationMillis = passes * passMillis + outputTokens * stepMillis;
		double byPrefill = MAX_PREFILL_SHARE * this.profile.promptTokensPerPass() / passMillis / promptTokens;
		return Math.min(MAX_RATE, MILLIS_PER_SECOND * Math.min(sequences / durationMillis, byPrefill));
	}

	private double millisPerSequence() {
		return this.profile.sequenceMillis()
				+ this.profile.contextMillis() * this.profile.typicalRequestTokens() / TOKENS_PER_CONTEXT_UNIT;
	}

}
