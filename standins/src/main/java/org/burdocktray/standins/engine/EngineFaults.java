package org.burdocktray.standins.engine;

/**
 * The active faults of the engine stand-in. Thread safety: immutable.
 *
 * @param frozen whether calls are accepted but not processed until the fault ends
 * @param stepDelayMillis the delay added to each step
 * @param crashOnPrompt the text that crashes the engine when a prompt contains it; empty
 * for none
 * @param failAfterSteps the number of positions after which steps fail; 0 for never
 * @param crashAfterSteps the number of positions after which the engine crashes; 0 for
 * never
 * @param leaving whether the engine refuses new streams
 * @param duplicateSteps whether each step is immediately sent to the next stage twice
 * @param lateStepMillis the delay after which each step is sent to the next stage again;
 * 0 for never
 * @param duplicateTokens whether the head sends each token line twice
 */
public record EngineFaults(boolean frozen, long stepDelayMillis, String crashOnPrompt, int failAfterSteps,
		int crashAfterSteps, boolean leaving, boolean duplicateSteps, long lateStepMillis, boolean duplicateTokens) {

	/**
	 * No faults.
	 */
	public static final EngineFaults NONE = new EngineFaults(false, 0, "", 0, 0, false, false, 0, false);

	/**
	 * Replaces a missing {@code crashOnPrompt} with an empty text.
	 */
	public EngineFaults {
		crashOnPrompt = (crashOnPrompt != null) ? crashOnPrompt : "";
	}

	boolean crashesOn(String prompt) {
		return !this.crashOnPrompt.isEmpty() && prompt.contains(this.crashOnPrompt);
	}

}
