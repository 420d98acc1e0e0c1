package org.burdocktray.process.watch;

/**
 * A kind of objects that VMs get from watchers. Thread safety: immutable.
 *
 * @param name the name of the kind
 * @param waitMillis how long a watcher, and those that ask it, wait for changes
 */
public record WatchedKind(String name, long waitMillis) {

	/** The time of a late call and of the pause after changes. */
	private static final long MARGIN_MILLIS = 1_500;

	/**
	 * Returns the maximum age of what a watcher may answer. What is older shows that it
	 * no longer watches.
	 * @return milliseconds
	 */
	long maxAgeMillis() {
		return 2 * this.waitMillis + MARGIN_MILLIS;
	}

}
