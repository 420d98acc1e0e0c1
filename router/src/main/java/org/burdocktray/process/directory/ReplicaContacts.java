package org.burdocktray.process.directory;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * When this VM has last heard from each replica. Invariant: holds no replica that has
 * been silent for longer than the window, but until the next count. Thread safety: none,
 * confined to one event loop.
 */
public final class ReplicaContacts {

	private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(2);

	private final Map<String, Long> lastContactNanos = new HashMap<>();

	private boolean everHeard;

	private long lastNanos;

	/**
	 * Records that a replica has sent something to this VM.
	 * @param replica the replica
	 * @param nowNanos the current time of the monotonic clock
	 */
	public void record(Replica replica, long nowNanos) {
		this.lastContactNanos.put(replica.id(), nowNanos);
		this.everHeard = true;
		this.lastNanos = nowNanos;
	}

	/**
	 * Returns whether this VM has heard from a replica of late.
	 * @param replica the replica
	 * @param sinceNanos the beginning of the time in question
	 * @return whether it has sent something since
	 */
	public boolean hasHeardFrom(Replica replica, long sinceNanos) {
		Long contactNanos = this.lastContactNanos.get(replica.id());
		return contactNanos != null && contactNanos - sinceNanos >= 0;
	}

	/**
	 * Returns whether this VM has heard from any replica of late.
	 * @param sinceNanos the beginning of the time in question
	 * @return whether one has sent something since
	 */
	public boolean hasHeardFromAny(long sinceNanos) {
		return this.everHeard && this.lastNanos - sinceNanos >= 0;
	}

	/**
	 * Returns how many replicas this VM has heard from in the last two seconds.
	 * @param nowNanos the current time of the monotonic clock
	 * @return the number of replicas
	 */
	public int count(long nowNanos) {
		this.lastContactNanos.values().removeIf((contactNanos) -> nowNanos - contactNanos > WINDOW_NANOS);
		return this.lastContactNanos.size();
	}

}
