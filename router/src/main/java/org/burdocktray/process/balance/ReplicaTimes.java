package org.burdocktray.process.balance;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import org.burdocktray.process.directory.Replica;

/**
 * The response times and failures of plain replicas as this VM sees them. One VM sees few
 * responses of each replica, so estimates are drawn to the mean of the service, and old
 * responses lose weight. A replica without recent responses therefore counts like the
 * others and is tried again. The state of a replica is reset when it restarts. Thread
 * safety: none, confined to one event loop.
 */
public final class ReplicaTimes {

	private static final double MEMORY_SECONDS = 10;

	/** The weight of the mean of the service, in responses. */
	private static final double PRIOR_RESPONSES = 2;

	/** What a response is taken to last before any has come. */
	private static final double INITIAL_MILLIS = 100;

	private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

	private final Map<String, Observed> replicas = new HashMap<>();

	private final Map<String, Observed> services = new HashMap<>();

	/**
	 * Records a response.
	 * @param replica the replica
	 * @param millis the time from sending the request to the end of the response
	 * @param isFailure whether the response shows a failure of the replica
	 * @param nowNanos the current time of the monotonic clock
	 */
	public void record(Replica replica, double millis, boolean isFailure, long nowNanos) {
		Observed known = this.replicas.get(replica.id());
		if (known == null || known.startedAtMillis != replica.startedAtMillis()) {
			known = new Observed(replica.startedAtMillis(), nowNanos);
			this.replicas.put(replica.id(), known);
		}
		known.add(millis, isFailure, nowNanos);
		this.services.computeIfAbsent(replica.service(), (key) -> new Observed(0, nowNanos))
			.add(millis, isFailure, nowNanos);
	}

	/**
	 * Estimates how long a response takes.
	 * @param replica the replica
	 * @param nowNanos the current time of the monotonic clock
	 * @return milliseconds, above 0
	 */
	public double expectedMillis(Replica replica, long nowNanos) {
		Observed service = this.services.get(replica.service());
		double mean = (service != null) ? service.meanMillis(INITIAL_MILLIS, 1, nowNanos) : INITIAL_MILLIS;
		Observed known = this.replicas.get(replica.id());
		boolean isKnown = known != null && known.startedAtMillis == replica.startedAtMillis();
		return Math.max(1, isKnown ? known.meanMillis(mean, PRIOR_RESPONSES, nowNanos) : mean);
	}

	/**
	 * Estimates the share of requests that a replica does not fail.
	 * @param replica the replica
	 * @param nowNanos the current time of the monotonic clock
	 * @return a share above 0
	 */
	public double successShare(Replica replica, long nowNanos) {
		Observed known = this.replicas.get(replica.id());
		boolean isKnown = known != null && known.startedAtMillis == replica.startedAtMillis();
		return isKnown ? known.successShare(nowNanos) : 1;
	}

	/**
	 * Drops the state of replicas that are no longer listed.
	 * @param isListed whether the replica with an id is listed
	 */
	void retainListed(Predicate<String> isListed) {
		this.replicas.keySet().removeIf(isListed.negate());
	}

	private static final class Observed {

		private final long startedAtMillis;

		private double responses;

		private double failures;

		private double totalMillis;

		private long updatedNanos;

		Observed(long startedAtMillis, long nowNanos) {
			this.startedAtMillis = startedAtMillis;
			this.updatedNanos = nowNanos;
		}

		void add(double millis, boolean isFailure, long nowNanos) {
			double counted = isFailure ? timeOfFailure(millis, nowNanos) : millis;
			double kept = keptShare(nowNanos);
			this.updatedNanos = nowNanos;
			this.responses = kept * this.responses + 1;
			this.failures = kept * this.failures + (isFailure ? 1 : 0);
			this.totalMillis = kept * this.totalMillis + counted;
		}

		// Failures are often fast, and would make a replica look fast.
		private double timeOfFailure(double millis, long nowNanos) {
			return Math.max(millis, meanMillis(INITIAL_MILLIS, 1, nowNanos));
		}

		double meanMillis(double prior, double priorWeight, long nowNanos) {
			double kept = keptShare(nowNanos);
			return (kept * this.totalMillis + priorWeight * prior) / (kept * this.responses + priorWeight);
		}

		double successShare(long nowNanos) {
			double kept = keptShare(nowNanos);
			return 1 - kept * this.failures / (kept * this.responses + PRIOR_RESPONSES);
		}

		private double keptShare(long nowNanos) {
			return Math.exp(-Math.max(0, nowNanos - this.updatedNanos) / NANOS_PER_SECOND / MEMORY_SECONDS);
		}

	}

}
