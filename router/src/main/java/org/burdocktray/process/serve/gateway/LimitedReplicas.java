package org.burdocktray.process.serve.gateway;

import java.util.Collection;
import java.util.List;
import java.util.random.RandomGenerator;

import org.burdocktray.process.directory.Replica;
import org.burdocktray.process.limits.ReplicaLimits;
import org.burdocktray.process.limits.ReplicaPauses;
import org.burdocktray.process.limits.RequestLimit;
import org.burdocktray.process.limits.RetryAfter;
import org.jboss.logging.Logger;

/**
 * Applies what replicas say in their responses to what this VM sends them: the number of
 * requests that they take, and the pauses that they ask for. Thread safety: none,
 * confined to one event loop.
 */
final class LimitedReplicas {

	private static final Logger LOGGER = Logger.getLogger(LimitedReplicas.class);

	private final ReplicaLimits limits;

	private final ReplicaPauses pauses = new ReplicaPauses();

	private final RandomGenerator random;

	private Listener listener = new Listener() {
	};

	private int waiting;

	LimitedReplicas(ReplicaLimits limits, RandomGenerator random) {
		this.limits = limits;
		this.random = random;
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
		if (head.leaving()) {
			this.listener.onLeaving(replica);
		}
		if (head.retryAfter() instanceof RetryAfter.Unreadable unreadable) {
			LOGGER.debugf("Replica asks for no readable pause: replica=%s pause=%s", replica.id(), unreadable.text());
		}
		if (head.retryAfter() instanceof RetryAfter.Seconds pause) {
			LOGGER.infof("Replica asks for a pause: replica=%s seconds=%s", UpstreamNames.of(replica), pause.seconds());
			this.listener.onPause();
			this.pauses.record(UpstreamNames.of(replica), pause.seconds(), this.random.nextDouble(), System.nanoTime());
		}
	}

	void setListener(Listener next) {
		this.listener = next;
	}

	/**
	 * Returns whether a replica wants no request of this VM now, not even one that can't
	 * be put off.
	 * @param replica the replica
	 * @return true within a pause that it has asked for
	 */
	boolean isPaused(Replica replica) {
		return this.pauses.isAnyActive()
				&& this.pauses.remainingNanos(UpstreamNames.of(replica), System.nanoTime()) > 0;
	}

	/**
	 * Returns how long all of several replicas want no requests.
	 * @param replicas the replicas
	 * @return the time until the first pause ends, 0 if one takes requests now
	 */
	long nanosUntilPauseEnds(Collection<Replica> replicas) {
		if (!this.pauses.isAnyActive()) {
			return 0;
		}
		return this.pauses.soonestEndNanos(replicas.stream().map(UpstreamNames::of).toList(), System.nanoTime());
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
		return !isPaused(replica) && this.limits.hasRoom(UpstreamNames.of(replica), System.nanoTime());
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

	/**
	 * Is told what replicas say in their responses.
	 */
	interface Listener {

		/** Handles that a replica asks for a pause. */
		default void onPause() {
		}

		/**
		 * Handles that a replica leaves.
		 * @param replica the replica
		 */
		default void onLeaving(Replica replica) {
		}

	}

}
