package org.burdocktray.standins.engine;

/**
 * Signals that a stage was unreachable, failed or did not respond in time. Thread safety:
 * immutable.
 */
final class StageFailureException extends Exception {

	private static final long serialVersionUID = 1L;

	private final int failedStage;

	private final boolean crashed;

	StageFailureException(int failedStage, String detail, boolean crashed) {
		super(detail, null, false, false);
		this.failedStage = failedStage;
		this.crashed = crashed;
	}

	static StageFailureException of(Throwable cause, int stageIndex) {
		if (cause instanceof StageFailureException failure) {
			return failure;
		}
		return new StageFailureException(stageIndex, String.valueOf(cause.getMessage()), false);
	}

	/**
	 * Returns whether the connection to the stage broke while a step was in progress.
	 * @return false when the stage was unreachable, timed out or responded with an error
	 */
	boolean crashed() {
		return this.crashed;
	}

	int failedStage() {
		return this.failedStage;
	}

}
