package org.burdocktray.process.limits;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The replicas that want no requests of this VM for a while. Invariants: a pause is never
 * shortened by a later one; the number of replicas is limited. Thread safety: none,
 * confined to one event loop.
 */
public final class ReplicaPauses {

	private static final double NANOS_PER_SECOND = 1e9;

	/** The share of a pause by which VMs and replicas differ in when requests return. */
	private static final double SPREAD_SHARE = 0.25;

	private static final long MAX_SPREAD_NANOS = TimeUnit.SECONDS.toNanos(1);

	/** Replicas that are gone are not removed otherwise. */
	private static final int MAX_REPLICAS = 4_096;

	private final Map<String, Long> endNanos = new LinkedHashMap<>();

	/**
	 * Records that a replica asks for a pause.
	 * @param replica the name of the replica
	 * @param seconds the length of the pause
	 * @param draw a random number from 0 to 1, which spreads the return of requests
	 * @param nowNanos the time
	 */
	public void record(String replica, double seconds, double draw, long nowNanos) {
		double spreadNanos = Math.min(MAX_SPREAD_NANOS, SPREAD_SHARE * seconds * NANOS_PER_SECOND);
		long end = nowNanos + (long) (seconds * NANOS_PER_SECOND + draw * spreadNanos);
		removeEnded(nowNanos);
		this.endNanos.merge(replica, end, (first, second) -> (first - second > 0) ? first : second);
		if (this.endNanos.size() > MAX_REPLICAS) {
			this.endNanos.remove(this.endNanos.keySet().iterator().next());
		}
	}

	/**
	 * Returns whether any replica may want a pause now.
	 * @return false if all take requests
	 */
	public boolean isAnyActive() {
		return !this.endNanos.isEmpty();
	}

	/**
	 * Returns how much longer a replica wants no requests.
	 * @param replica the name of the replica
	 * @param nowNanos the time
	 * @return the time, 0 if it takes requests
	 */
	public long remainingNanos(String replica, long nowNanos) {
		Long end = this.endNanos.get(replica);
		return (end != null) ? Math.max(0, end - nowNanos) : 0;
	}

	/**
	 * Returns the time until the first of several replicas takes requests again.
	 * @param replicas the names of the replicas
	 * @param nowNanos the time
	 * @return the time, 0 if one takes them now or there is none
	 */
	public long soonestEndNanos(Collection<String> replicas, long nowNanos) {
		return replicas.stream().mapToLong((replica) -> remainingNanos(replica, nowNanos)).min().orElse(0);
	}

	private void removeEnded(long nowNanos) {
		this.endNanos.values().removeIf((end) -> nowNanos - end >= 0);
	}

}
