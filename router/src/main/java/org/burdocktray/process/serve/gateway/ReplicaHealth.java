package org.burdocktray.process.serve.gateway;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.burdocktray.model.NetworkAddress;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.request.forward.AttemptOutcome;

/**
 * Concludes from the ends of attempts which replicas get no requests for a while. Thread
 * safety: none, confined to one event loop.
 */
final class ReplicaHealth {

	/**
	 * Failures in a row after which an engine, which others cannot replace, is avoided.
	 */
	private static final int MAX_ENGINE_FAILURES = 3;

	private static final long AVOID_NANOS = TimeUnit.SECONDS.toNanos(2);

	/**
	 * How long a plain replica is avoided after its first failure; twice after the next.
	 */
	private static final long FIRST_AVOID_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private static final int MAX_DOUBLINGS = 4;

	private final GatewayContext context;

	ReplicaHealth(GatewayContext context) {
		this.context = context;
	}

	/**
	 * Takes in an attempt without an answer to deliver.
	 * @param replica where the request was sent
	 * @param outcome what became of it
	 * @param faultAddress the engine at fault, where another one reports it
	 * @return whether the replica itself failed, so that the request goes elsewhere
	 */
	boolean recordFailedAttempt(Replica replica, AttemptOutcome outcome, Optional<NetworkAddress> faultAddress) {
		long nowNanos = System.nanoTime();
		Optional<Replica> atFault = faultAddress.flatMap(this.context.directory()::findByAddress);
		if (atFault.isPresent()) {
			this.context.loads().recordRejection(atFault.get(), nowNanos);
			this.context.monitor().requestReport(atFault.get()).subscribe();
			return false;
		}
		if (outcome == AttemptOutcome.REJECTED) {
			this.context.loads().recordRejection(replica, nowNanos);
			return false;
		}
		if (outcome == AttemptOutcome.NOT_SENT) {
			this.context.loads().avoid(replica, nowNanos + AVOID_NANOS);
			return true;
		}
		recordResponse(replica, true);
		return true;
	}

	/**
	 * Takes in an answer.
	 * @param replica who answered
	 * @param isFailure whether it is a failure of the replica's
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
		if (failures >= MAX_ENGINE_FAILURES) {
			this.context.loads().avoid(replica, nowNanos + AVOID_NANOS);
		}
	}

}
