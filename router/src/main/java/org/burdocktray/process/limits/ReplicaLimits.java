package org.burdocktray.process.limits;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;

/**
 * Keeps this VM to its share of the requests that replicas take from all VMs together.
 * VMs do not tell each other how many they send: each of those in charge of a replica
 * paces itself to an equal part of its limit. The lower the limit, the fewer are in
 * charge, since each of them may have one request due at the same time; the others send
 * one now and then, to learn whether the limit still holds. Every VM derives from the
 * names of all VMs which are in charge. Invariant: this VM sends no two requests to a
 * replica closer together than its interval, but for those that can't be put off, which
 * put off the next. The number of replicas is limited. Thread safety: none, confined to
 * one event loop.
 */
public final class ReplicaLimits {

	private static final double NANOS_PER_SECOND = 1e9;

	/** The number of VMs in charge of a replica with a limit close to 0. */
	private static final int MIN_VMS_IN_CHARGE = 3;

	/** The part of a limit that the VMs not in charge use together. */
	private static final double TEST_SHARE = 0.25;

	/** How far requests that can't be put off may put off the next one. */
	private static final double MAX_DEBT_INTERVALS = 4;

	/** Replicas that are gone are not removed otherwise. */
	private static final int MAX_REPLICAS = 4_096;

	private static final long MAX_INTERVAL_NANOS = TimeUnit.HOURS.toNanos(1);

	private final String vmName;

	private final Map<String, Limit> limits = new LinkedHashMap<>();

	private List<String> vmNames;

	/**
	 * Creates the limits of a VM that knows of no others.
	 * @param vmName the name of this VM
	 */
	public ReplicaLimits(String vmName) {
		this.vmName = vmName;
		this.vmNames = List.of(vmName);
	}

	/**
	 * Sets the VMs that may send requests.
	 * @param names their names; the name of this VM may be missing
	 */
	public void setVms(List<String> names) {
		List<String> withOwnName = new ArrayList<>(names);
		if (!withOwnName.contains(this.vmName)) {
			withOwnName.add(this.vmName);
		}
		this.vmNames = List.copyOf(withOwnName);
		this.limits.replaceAll((replica, limit) -> limit.withShare(share(replica, limit.requestsPerSecond())));
	}

	/**
	 * Records what a response says.
	 * @param replica the name of the replica
	 * @param named what it says
	 * @param nowNanos the time
	 * @return whether it changes anything
	 */
	public boolean record(String replica, RequestLimit named, long nowNanos) {
		if (named instanceof RequestLimit.None) {
			return this.limits.remove(replica) != null;
		}
		if (!(named instanceof RequestLimit.PerSecond limit)) {
			return false;
		}
		Limit current = this.limits.get(replica);
		if (current != null && current.requestsPerSecond() == limit.requestsPerSecond()) {
			return false;
		}
		Share share = share(replica, limit.requestsPerSecond());
		long nextNanos = (current != null) ? current.nextNanos() : nowNanos + share.firstDelayNanos();
		this.limits.put(replica, new Limit(limit.requestsPerSecond(), share, nextNanos));
		if (this.limits.size() > MAX_REPLICAS) {
			this.limits.remove(this.limits.keySet().iterator().next());
		}
		return true;
	}

	/**
	 * Returns whether any replica names a limit.
	 * @return false if this VM may send to all of them at any time
	 */
	public boolean isAnyLimited() {
		return !this.limits.isEmpty();
	}

	/**
	 * Returns whether this VM may send a request to a replica now.
	 * @param replica the name of the replica
	 * @param nowNanos the time
	 * @return true if it names no limit, or this VM's next request is due
	 */
	public boolean hasRoom(String replica, long nowNanos) {
		return nanosUntilRoom(replica, nowNanos) == 0;
	}

	/**
	 * Returns how long this VM must not send requests to a replica.
	 * @param replica the name of the replica
	 * @param nowNanos the time
	 * @return the time, 0 if it may send one now
	 */
	public long nanosUntilRoom(String replica, long nowNanos) {
		Limit limit = this.limits.get(replica);
		return (limit != null) ? Math.max(0, limit.nextNanos() - nowNanos) : 0;
	}

	/**
	 * Returns how long a request of this VM has to wait for one of several replicas.
	 * @param replicas the names of the replicas
	 * @param ahead the number of requests of this VM that wait before it
	 * @param nowNanos the time
	 * @return the time, 0 if it may be sent now
	 */
	public long nanosUntilRoom(Collection<String> replicas, int ahead, long nowNanos) {
		if (replicas.stream().anyMatch((replica) -> !this.limits.containsKey(replica))) {
			return 0;
		}
		return replicas.stream()
			.map(this.limits::get)
			.flatMap((limit) -> LongStream.rangeClosed(0, ahead)
				.mapToObj((turn) -> limit.nextNanos() + turn * limit.share().intervalNanos() - nowNanos))
			.sorted()
			.skip(ahead)
			.findFirst()
			.map((waitNanos) -> Math.max(0, waitNanos))
			.orElse(0L);
	}

	/**
	 * Records that a request is sent to a replica, also one that can't be put off.
	 * @param replica the name of the replica
	 * @param nowNanos the time
	 */
	public void recordRequest(String replica, long nowNanos) {
		this.limits.computeIfPresent(replica, (name, limit) -> limit.afterRequest(nowNanos));
	}

	private Share share(String replica, double requestsPerSecond) {
		int vmCount = this.vmNames.size();
		int inCharge = (int) Math.min(vmCount, MIN_VMS_IN_CHARGE + requestsPerSecond);
		int rank = rank(replica);
		boolean isInCharge = rank < inCharge;
		double ownPerSecond = isInCharge ? requestsPerSecond / inCharge : TEST_SHARE * requestsPerSecond / vmCount;
		long intervalNanos = (long) Math.min(MAX_INTERVAL_NANOS, NANOS_PER_SECOND / ownPerSecond);
		return new Share(intervalNanos, rank / (double) (isInCharge ? inCharge : vmCount));
	}

	private int rank(String replica) {
		List<String> ranked = this.vmNames.stream()
			.sorted(Comparator.comparingInt((String name) -> mix(name + '@' + replica))
				.thenComparing(Comparator.naturalOrder()))
			.toList();
		return ranked.indexOf(this.vmName);
	}

	// String hashes of similar names are close to each other.
	private static int mix(String text) {
		int hash = text.hashCode() * 0x9E3779B9;
		return hash ^ (hash >>> 15);
	}

	/**
	 * This VM's part of a limit. Thread safety: immutable.
	 *
	 * @param intervalNanos the time between its requests
	 * @param phase the part of an interval after which the first one is due
	 */
	private record Share(long intervalNanos, double phase) {

		private long firstDelayNanos() {
			return (long) (this.phase * this.intervalNanos);
		}

	}

	/**
	 * The limit of one replica. Thread safety: immutable.
	 *
	 * @param requestsPerSecond the requests that it takes from all VMs
	 * @param share this VM's part
	 * @param nextNanos when the next request of this VM is due
	 */
	private record Limit(double requestsPerSecond, Share share, long nextNanos) {

		private Limit afterRequest(long nowNanos) {
			long dueNanos = (this.nextNanos - nowNanos > 0) ? this.nextNanos : nowNanos;
			long maxNanos = nowNanos + (long) (MAX_DEBT_INTERVALS * this.share.intervalNanos());
			return new Limit(this.requestsPerSecond, this.share,
					Math.min(maxNanos, dueNanos + this.share.intervalNanos()));
		}

		private Limit withShare(Share next) {
			return new Limit(this.requestsPerSecond, next, this.nextNanos);
		}

	}

}
