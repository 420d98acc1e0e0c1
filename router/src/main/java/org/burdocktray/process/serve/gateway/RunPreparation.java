package org.burdocktray.process.serve.gateway;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

import io.reactivex.rxjava3.core.Single;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.process.quarantine.QuarantineDecision;

/**
 * Secures what the next run of one request needs before anything is given up for it: the
 * quarantine allows it, a target can take it, the target responds if the request is
 * suspected of crashing replicas, and a retry is left in the budget. Invariants: a retry
 * is taken from the budget only for a run that can be sent at once; the quarantine allows
 * the run by the evidence known then. The upstreams to be spared are those known when the
 * target was selected. Thread safety: confined to one event loop.
 */
final class RunPreparation {

	private final GatewayContext context;

	private final String service;

	private final RunGuard runGuard;

	private final ReplicaHealth health;

	RunPreparation(GatewayContext context, String service, RunGuard runGuard, ReplicaHealth health) {
		this.context = context;
		this.service = service;
		this.runGuard = runGuard;
		this.health = health;
	}

	/**
	 * Prepares a run.
	 * @param selection selects a target, given the names of upstreams to be spared
	 * @param isRetry whether the run is charged to the retry budget
	 * @param isNeeded whether the run is still needed, asked when its target has been
	 * probed
	 * @return whether the run can be sent now
	 */
	Single<Result> prepare(Function<Set<String>, Optional<Target>> selection, boolean isRetry,
			BooleanSupplier isNeeded) {
		QuarantineDecision decision = this.runGuard.check();
		Optional<Result> objection = findObjection(decision);
		if (objection.isPresent()) {
			return Single.just(objection.get());
		}
		if (isRetry && !this.context.retryBudget().hasRetry(this.service, System.nanoTime())) {
			return blocked(Obstacle.BUDGET_SPENT);
		}
		return selection.apply(decision.excludedUpstreams())
			.map((target) -> this.runGuard.findUnresponsive(target)
				.map((unresponsive) -> onProbed(target, unresponsive, isRetry, isNeeded)))
			.orElseGet(() -> blocked(Obstacle.NO_TARGET));
	}

	private Optional<Result> findObjection(QuarantineDecision decision) {
		if (decision instanceof QuarantineDecision.Refuse refuse) {
			return Optional.of(new Result.Quarantined(refuse));
		}
		if (this.runGuard.isCheckingLostRun()) {
			return Optional.of(new Result.Blocked(Obstacle.LOST_RUN_UNEXPLAINED));
		}
		if (decision instanceof QuarantineDecision.Wait) {
			return Optional.of(new Result.Blocked(Obstacle.OTHER_RUN));
		}
		return Optional.empty();
	}

	// A probe takes long enough for this VM to hear of another crash.
	private Result onProbed(Target target, List<Replica> unresponsive, boolean isRetry, BooleanSupplier isNeeded) {
		if (!isNeeded.getAsBoolean()) {
			return new Result.Blocked(Obstacle.NOT_NEEDED);
		}
		if (!unresponsive.isEmpty()) {
			this.health.avoidUnresponsive(unresponsive);
			return new Result.Blocked(Obstacle.TARGET_UNRESPONSIVE);
		}
		Optional<Result> objection = findObjection(this.runGuard.check());
		if (objection.isPresent()) {
			return objection.get();
		}
		if (isRetry && !this.context.retryBudget().tryAcquireRetry(this.service, System.nanoTime())) {
			return new Result.Blocked(Obstacle.BUDGET_SPENT);
		}
		return new Result.Ready(target);
	}

	private static Single<Result> blocked(Obstacle obstacle) {
		return Single.just(new Result.Blocked(obstacle));
	}

	/**
	 * Whether a run can be sent. Thread safety: immutable.
	 */
	sealed interface Result {

		/**
		 * The run can be sent now.
		 *
		 * @param target where to
		 */
		record Ready(Target target) implements Result {

		}

		/**
		 * The request is quarantined.
		 *
		 * @param refusal until when, and for what
		 */
		record Quarantined(QuarantineDecision.Refuse refusal) implements Result {

		}

		/**
		 * The run can't be sent now.
		 *
		 * @param obstacle the reason
		 */
		record Blocked(Obstacle obstacle) implements Result {

		}

	}

	/**
	 * Why a run can't be sent now.
	 */
	enum Obstacle {

		/** It is being found out whether a replica has crashed under the last run. */
		LOST_RUN_UNEXPLAINED("the loss of the last run is being looked into"),

		/** Another run of a suspected request is in progress. */
		OTHER_RUN("another run of the request is in progress"),

		/** The retry budget is spent. */
		BUDGET_SPENT("retry budget is spent"),

		/** No replica can take the request. */
		NO_TARGET("no replica can take the request"),

		/** A replica of the target does not respond, and is avoided from now on. */
		TARGET_UNRESPONSIVE("the selected replica does not respond"),

		/** The request has ended or goes on without this run. */
		NOT_NEEDED("the run is not needed any more");

		private final String text;

		Obstacle(String text) {
			this.text = text;
		}

		/**
		 * Returns the reason for logs and responses.
		 * @return the text
		 */
		String text() {
			return this.text;
		}

	}

}
