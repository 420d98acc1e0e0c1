package org.burdocktray.process.serve.gateway;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.burdocktray.model.NetworkAddress;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.request.forward.AttemptOutcome;

/**
 * Decides by the results of attempts which replicas get no requests for a while. Thread
 * safety: none, confined to one event loop.
 */
final class ReplicaHealth {

	/**
	 * Consecutive failures after which an engine is avoided; other replicas cannot
	 * replace it.
	 */
	private static final int ENGINE_FAILURE_THRESHOLD = 3;

	private static final long AVOID_NANOS = TimeUnit.SECONDS.toNanos(2);

	/**
	 * How long a plain replica is avoided after its first failure; doubles with each
	 * further failure, up to {@link #MAX_DOUBLINGS} times.
	 */
	private static final long FIRST_AVOID_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private static final int MAX_DOUBLINGS = 4;

	private final GatewayContext context;

	ReplicaHealth(GatewayContext context) {
		this.context = context;
	}

	/**
	 * Records an attempt that had no response to deliver.
	 * @param replica the replica to which the request was sent
	 * @param outcome the outcome of the attempt
	 * @param faultAddress the address of the engine at fault, if another engine reported
	 * it
	 * @return whether the replica itself failed, so that the request must go to another
	 * one
	 */
	boolean recordFailedAttempt(Replica replica, AttemptOutcome outcome, Optional<NetworkAddress> faultAddress) {
		long nowNanos = System.nanoTime();
		Optional<Replica> atFault = faultAddress.flatMap(this.context.directory()::findByAddress);
		if (atFault.isPresent()) {
			this.context.loads().recordRejection(atFault.get(), nowNanos);
			this.context.monitor().requestReport(atFault.get()).subscribe();
			return false;
		}
		if (outcome == AttemptOutcome.REJECTED || outcome == AttemptOutcome.DECLINED) {
			this.context.loads().recordRejection(replica, nowNanos);
			return false;
		}
		if (outcome == AttemptOutcome.NOT_SENT && this.context.limits().isPaused(replica)) {
			return true;
		}
		if (outcome == AttemptOutcome.NOT_SENT) {
			this.context.loads().avoidSilent(replica, nowNanos + AVOID_NANOS);
			return true;
		}
		recordResponse(replica, true);
		return true;
	}

	/**
	 * Records that replicas did not respond to a probe.
	 * @param replicas the replicas
	 */
	void avoidUnresponsive(List<Replica> replicas) {
		long untilNanos = System.nanoTime() + AVOID_NANOS;
		replicas.forEach((replica) -> this.context.loads().avoidSilent(replica, untilNanos));
	}

	/**
	 * Records a response.
	 * @param replica the replica that responded
	 * @param isFailure whether the response shows a failure of the replica
	 */
	void recordResponse(Replica replica, boolean isFailure) {
		if (!isFailure) {
			this.context.loads().recordSuccess(replica);
			return;
		}
		long nowNanos = System.nanoTime();
		int failures = this.context.loads().recordFailure(replica);
		if (replica.acceleratorKind().isEmpty()) {
			int doublings = Math.min(failures - 1, MAX_DOUBLINGS);
			this.context.loads().avoid(replica, nowNanos + (FIRST_AVOID_NANOS << doublings));
			return;
		}
		if (failures >= ENGINE_FAILURE_THRESHOLD) {
			this.context.loads().avoid(replica, nowNanos + AVOID_NANOS);
		}
	}

}
