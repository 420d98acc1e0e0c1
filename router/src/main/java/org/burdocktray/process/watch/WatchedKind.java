package org.burdocktray.process.watch;

/**
 * A kind of objects that VMs get from watchers. Thread safety: immutable.
 *
 * @param name the name of the kind
 * @param waitMillis how long a watcher, and those that ask it, wait for changes
 * @param pausesWhenIdle whether a VM that may wait long pauses between its requests, so
 * that it skips every second answer of its watcher
 * @param bounds how soon changes must be known
 */
public record WatchedKind(String name, long waitMillis, boolean pausesWhenIdle, FollowerBounds bounds) {

	/** Changes of hints may be known late. */
	private static final FollowerBounds HINT_BOUNDS = new FollowerBounds(60_000);

	/** Makes sure that a pause ends after the answer that is left out. */
	private static final long PAUSE_MARGIN_MILLIS = 100;

	/** The time of a late call and of the pause after changes. */
	private static final long MARGIN_MILLIS = 1_500;

	/**
	 * Returns a kind whose objects may be old.
	 * @param name the name of the kind
	 * @param waitMillis how long a watcher, and those that ask it, wait for changes
	 * @return the kind
	 */
	public static WatchedKind hint(String name, long waitMillis) {
		return new WatchedKind(name, waitMillis, false, HINT_BOUNDS);
	}

	/**
	 * Returns how long a VM pauses before it asks a watcher. With a pause, its
	 * confirmation has the age of four waits at most; without the watcher, that of two
	 * waits of its own.
	 * @param ownWaitMillis how long the VM would wait by itself
	 * @return milliseconds, 0 for no pause
	 */
	long pauseMillis(long ownWaitMillis) {
		long pauseMillis = this.waitMillis + PAUSE_MARGIN_MILLIS;
		return (this.pausesWhenIdle && 2 * ownWaitMillis >= 3 * this.waitMillis + pauseMillis) ? pauseMillis : 0;
	}

	/**
	 * Returns the maximum age of what a watcher may answer. What is older shows that it
	 * no longer watches.
	 * @return milliseconds
	 */
	long maxAgeMillis() {
		return 2 * this.waitMillis + MARGIN_MILLIS;
	}

}
