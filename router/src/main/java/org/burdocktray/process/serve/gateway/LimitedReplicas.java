package org.burdocktray.process.serve.gateway;

import java.util.Collection;
import java.util.List;

import org.burdocktray.process.directory.Replica;
import org.burdocktray.process.limits.ReplicaLimits;
import org.burdocktray.process.limits.RequestLimit;
import org.jboss.logging.Logger;

/**
 * Applies the limits that replicas name to what this VM sends them. Thread safety: none,
 * confined to one event loop.
 */
final class LimitedReplicas {

	private static final Logger LOGGER = Logger.getLogger(LimitedReplicas.class);

	private final ReplicaLimits limits;

	private int waiting;

	LimitedReplicas(ReplicaLimits limits) {
		this.limits = limits;
	}

	/**
	 * Records the head of a response.
	 * @param replica the replica that responded
	 * @param head the head
	 */
	void recordResponse(Replica replica, ResponseHead head) {
		if (head.requestLimit() instanceof RequestLimit.Unreadable unreadable) {
			LOGGER.debugf("Replica names no readable limit: replica=%s limit=%s", replica.id(), unreadable.text());
		}
		if (this.limits.record(UpstreamNames.of(replica), head.requestLimit(), System.nanoTime())) {
			LOGGER.infof("Replica limit changed: replica=%s limit=%s", replica.id(), head.requestLimit());
		}
	}

	/**
	 * Records that a request is sent to a replica, of a caller or of this VM itself.
	 * @param replica the replica
	 */
	void recordRequest(Replica replica) {
		this.limits.recordRequest(UpstreamNames.of(replica), System.nanoTime());
	}

	boolean isAnyLimited() {
		return this.limits.isAnyLimited();
	}

	boolean hasRoom(Replica replica) {
		return this.limits.hasRoom(UpstreamNames.of(replica), System.nanoTime());
	}

	/**
	 * Returns the time until this VM may send a request to one of several replicas, after
	 * those that wait already.
	 * @param replicas the replicas
	 * @return the time, 0 if it may send the request now
	 */
	long nanosUntilRoom(Collection<Replica> replicas) {
		List<String> names = replicas.stream().map(UpstreamNames::of).toList();
		return this.limits.nanosUntilRoom(names, this.waiting, System.nanoTime());
	}

	/** Records that a request waits for a replica that limits its requests. */
	void addWaiting() {
		this.waiting++;
	}

	/** Records that a request does not wait any more. */
	void removeWaiting() {
		this.waiting--;
	}

}
