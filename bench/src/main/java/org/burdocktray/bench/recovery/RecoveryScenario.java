package org.burdocktray.bench.recovery;

/**
 * A failure of a stage with many streams. The rates are assumptions about the engines,
 * not measurements of them. Thread safety: immutable.
 *
 * @param seed the seed of prompt lengths and tick phases
 * @param streamCount the number of streams at the failing stage
 * @param failure how the stage fails
 * @param recovery how the streams are recovered
 * @param replacementCount the number of engines that can replace the failed one
 * @param prefillTokensPerSecond the prefill rate of one stage
 * @param linkBytesPerSecond the rate of the link between two stages
 */
record RecoveryScenario(long seed, int streamCount, Failure failure, Recovery recovery, int replacementCount,
		double prefillTokensPerSecond, double linkBytesPerSecond) {

	/** How a stage fails. The names are printed. */
	enum Failure {

		/** The connections of the stage break. */
		DIES,

		/** The stage becomes unresponsive. */
		FREEZES

	}

	/** How a stream is recovered. The names are printed. */
	enum Recovery {

		/** One stage is replaced; the others replay their kept outputs. */
		REPLACE_ONE_STAGE,

		/** The prompt and the emitted tokens run again through other engines. */
		RESTART

	}

}
