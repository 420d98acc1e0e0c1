package org.burdocktray.process.watch;

/**
 * Receives what is counted of the watch. Thread safety: that of its event loop.
 */
public interface WatchListener {

	/**
	 * Handles the end of a call for objects.
	 * @param kind the kind of the objects
	 * @param source {@code store}, {@code watcher} or {@code remote_watcher}
	 * @param result {@code ok}, {@code failed}, {@code store_lost}, {@code behind},
	 * {@code declined}, or {@code gap} if changes were missed and all objects are listed
	 * again
	 */
	void onCall(String kind, String source, String result);

	/**
	 * Handles an answer to another VM.
	 * @param kind the kind of the objects
	 * @param result the status of the answer
	 */
	void onAnswer(String kind, String result);

	/**
	 * Handles the age of a confirmation when it was received.
	 * @param kind the kind of the objects
	 * @param ageMillis the age
	 */
	void onConfirmation(String kind, long ageMillis);

	/**
	 * Handles a change of what this VM does.
	 * @param isWatcher whether it watches the store
	 */
	void onWatching(boolean isWatcher);

}
