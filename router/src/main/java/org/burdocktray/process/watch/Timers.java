package org.burdocktray.process.watch;

/**
 * Runs actions later. Thread safety: that of its event loop, on which the actions run.
 */
public interface Timers {

	/**
	 * Runs an action once.
	 * @param delayMillis the delay, at least 1
	 * @param action the action
	 */
	void schedule(long delayMillis, Runnable action);

}
