package org.burdocktray.bench.recovery;

/**
 * A stage with many streams fails. The rates are assumptions on the engines, not
 * measurements of them. Thread safety: immutable.
 *
 * @param seed the seed of prompts and phases
 * @param streamCount the streams on the stage that fails
 * @param failure how it fails
 * @param recovery how the streams go on
 * @param replacementCount the engines that can take the place of the failed one
 * @param prefillTokensPerSecond the rate at which one stage takes in known tokens
 * @param linkBytesPerSecond the rate of the link between two stages
 */
record RecoveryScenario(long seed, int streamCount, Failure failure, Recovery recovery, int replacementCount,
		double prefillTokensPerSecond, double linkBytesPerSecond) {

	/** How a stage fails. */
	enum Failure {

		/** Its connections break. */
		DIES,

		/** It says nothing more. */
		FREEZES

	}

	/** How a stream goes on. */
	enum Recovery {

		/** One stage is replaced; the others answer from kept outputs. */
		REPLACE_ONE_STAGE,

		/** The prompt and the tokens so far run again through other engines. */
		RESTART

	}

}
