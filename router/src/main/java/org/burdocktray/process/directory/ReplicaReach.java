package org.burdocktray.process.directory;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

/**
 * Decides whether this VM reaches replicas at all. A replica that cannot be reached may
 * have ended, or this VM may be cut off: it is cut off if several replicas drawn at
 * random accept no connection either. A replica that is silent but accepts connections is
 * reached. Invariants: one failure alone changes nothing; one connection ends a cut.
 * Thread safety: none, confined to one event loop.
 */
public final class ReplicaReach {

	/** How many replicas are tried in one check. */
	static final int SAMPLE_SIZE = 4;

	private static final long CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private boolean cutOff;

	private boolean suspected;

	private boolean checking;

	private long lastCheckNanos;

	private long lastConnectedNanos;

	/**
	 * Creates the reach of a VM that counts as connected.
	 * @param nowNanos the current time of the monotonic clock
	 */
	public ReplicaReach(long nowNanos) {
		this.lastConnectedNanos = nowNanos;
		this.lastCheckNanos = nowNanos - CHECK_INTERVAL_NANOS;
	}

	/**
	 * Records that a replica could not be reached or has not responded.
	 * @param startNanos when the call that failed was started
	 */
	public void recordFailure(long startNanos) {
		if (startNanos - this.lastConnectedNanos >= 0) {
			this.suspected = true;
		}
	}

	/**
	 * Records that a replica has accepted a new connection.
	 * @param nowNanos the current time of the monotonic clock
	 */
	public void recordConnected(long nowNanos) {
		this.lastConnectedNanos = nowNanos;
		this.suspected = false;
		this.cutOff = false;
	}

	/**
	 * Returns whether replicas have to be tried now.
	 * @param nowNanos the current time of the monotonic clock
	 * @return true while this VM is or may be cut off, unless a check is in progress or
	 * was made a moment ago
	 */
	public boolean isCheckDue(long nowNanos) {
		return (this.suspected || this.cutOff) && !this.checking
				&& nowNanos - this.lastCheckNanos >= CHECK_INTERVAL_NANOS;
	}

	/**
	 * Starts a check.
	 * @param replicas all replicas that may be tried
	 * @param isFailing whether a replica has failed of late; such replicas are tried only
	 * where there are too few others
	 * @param random draws those that are tried
	 * @param nowNanos the current time of the monotonic clock
	 * @return the replicas to try
	 */
	public List<Replica> beginCheck(List<Replica> replicas, Predicate<Replica> isFailing, RandomGenerator random,
			long nowNanos) {
		this.checking = true;
		this.lastCheckNanos = nowNanos;
		Map<Boolean, List<Replica>> byHealth = replicas.stream().collect(Collectors.partitioningBy(isFailing));
		List<Replica> sample = new ArrayList<>();
		draw(byHealth.get(false), sample, random);
		draw(byHealth.get(true), sample, random);
		return sample;
	}

	private static void draw(List<Replica> from, List<Replica> sample, RandomGenerator random) {
		List<Replica> remaining = new ArrayList<>(from);
		while (!remaining.isEmpty() && sample.size() < SAMPLE_SIZE) {
			sample.add(remaining.remove(random.nextInt(remaining.size())));
		}
	}

	/**
	 * Ends a check.
	 * @param isAnyConnected whether any of the replicas has accepted a connection
	 * @param triedCount how many were tried
	 * @param nowNanos the current time of the monotonic clock
	 */
	public void endCheck(boolean isAnyConnected, int triedCount, long nowNanos) {
		this.checking = false;
		if (isAnyConnected) {
			recordConnected(nowNanos);
			return;
		}
		this.suspected = false;
		this.cutOff = triedCount > 0;
	}

	/**
	 * Returns whether this VM reaches no replica.
	 * @return true from the check that shows it to the next connection
	 */
	public boolean isCutOff() {
		return this.cutOff;
	}

	/**
	 * Returns whether it is being found out if this VM is cut off.
	 * @return true from a failure to the end of the check that it causes
	 */
	public boolean isInDoubt() {
		return this.suspected && !this.cutOff;
	}

}
