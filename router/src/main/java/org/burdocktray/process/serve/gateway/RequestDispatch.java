package org.burdocktray.process.serve.gateway;

import java.util.Optional;
import java.util.OptionalDouble;

import org.burdocktray.process.quarantine.QuarantineDecision;
import org.burdocktray.request.overload.RequestTracker;

/**
 * Finds the target of the next run of one request, or lets the request wait for one, or
 * gives it up. What can't be served within the time of the request is given up at once.
 * Invariant: a request that waits has no run. Thread safety: confined to one event loop.
 */
final class RequestDispatch {

	private static final double NANOS_PER_SECOND = 1e9;

	private final GatewayContext context;

	private final TargetSelector targetSelector;

	private final RunPreparation preparation;

	private final RequestWait wait;

	private final Owner owner;

	private final Optional<RequestTracker> tracker;

	private final boolean isRelayed;

	private final long startNanos;

	private boolean hasFailedAttempt;

	private boolean hasBeenDispatched;

	/**
	 * Creates the dispatch of a request that has not been dispatched yet.
	 * @param context the services of the process
	 * @param admitted the request
	 * @param targetSelector selects its targets
	 * @param preparation secures what its runs need
	 * @param startNanos the monotonic time at which the request came
	 * @param tracker follows the request where load is shed
	 * @param owner the request
	 */
	RequestDispatch(GatewayContext context, AdmittedRequest admitted, TargetSelector targetSelector,
			RunPreparation preparation, long startNanos, Optional<RequestTracker> tracker, Owner owner) {
		this.context = context;
		this.targetSelector = targetSelector;
		this.preparation = preparation;
		this.wait = new RequestWait(admitted.route(), context.limits(), tracker);
		this.tracker = tracker;
		this.isRelayed = admitted.relayed().isPresent();
		this.startNanos = startNanos;
		this.owner = owner;
	}

	/** Records that an attempt has failed, so that this VM may have lost its links. */
	void recordFailedAttempt() {
		this.hasFailedAttempt = true;
	}

	boolean isWaiting() {
		return this.wait.isOngoing();
	}

	void endWait() {
		this.wait.end();
	}

	void dispatch() {
		this.wait.end();
		boolean isFirst = !this.hasBeenDispatched;
		this.hasBeenDispatched = true;
		if (isFirst && this.owner.mustWaitForOthers()) {
			this.wait.begin();
			return;
		}
		if (this.hasFailedAttempt && this.targetSelector.isReachInDoubt()) {
			this.wait.begin();
			return;
		}
		if (!this.owner.isResponseStarted() && this.targetSelector.isRejectedForPressure()) {
			// Precedes the check of the quarantine, which costs a saturated VM more. The
			// caller may come back over the same connection, to this VM.
			double spread = 1 + this.context.random().nextDouble();
			this.owner.giveUp("VM is saturated", spread * this.owner.retryAfterSeconds());
			return;
		}
		this.preparation.prepare(this.targetSelector::select, this.owner.isNextRunRetry(), () -> !this.owner.hasEnded())
			.subscribe(this::onPrepared);
	}

	private void onPrepared(RunPreparation.Result result) {
		if (result instanceof RunPreparation.Result.Ready ready) {
			this.owner.send(ready.target());
		}
		else if (result instanceof RunPreparation.Result.Quarantined quarantined) {
			this.owner.refuseQuarantined(quarantined.refusal());
		}
		else if (result instanceof RunPreparation.Result.Blocked blocked) {
			onBlocked(blocked.obstacle());
		}
	}

	private void onBlocked(RunPreparation.Obstacle obstacle) {
		switch (obstacle) {
			case NOT_NEEDED -> {
				return;
			}
			case LOST_RUN_UNEXPLAINED -> this.wait.begin();
			case OTHER_RUN, TARGET_UNRESPONSIVE -> waitOrGiveUp(obstacle.text(), true);
			case BUDGET_SPENT -> waitOrGiveUp(obstacle.text(), this.owner.isResponseStarted());
			case NO_TARGET -> onNoTarget(obstacle.text());
		}
	}

	private void onNoTarget(String cause) {
		if (this.targetSelector.isReachUncertain()) {
			waitOrGiveUp(cause, true);
			return;
		}
		if (!this.context.reach().isCutOff()) {
			this.tracker.ifPresent((request) -> request.recordBlocked(System.nanoTime()));
		}
		if (isRelayedInVain()) {
			this.owner.giveBack();
			return;
		}
		boolean isStarted = this.owner.isResponseStarted();
		long nanosUntilRoom = isStarted ? 0 : this.targetSelector.nanosUntilRoom();
		if (nanosUntilRoom == 0) {
			waitForCapacity(cause, isStarted || this.targetSelector.canWait());
			return;
		}
		if (this.wait.beginForRoom(System.nanoTime() - this.startNanos, nanosUntilRoom)) {
			return;
		}
		// Spread, since all that are refused now would come back at the same time.
		double spread = 1 + this.context.random().nextDouble();
		this.owner.giveUp("replicas take no more requests now", spread * nanosUntilRoom / NANOS_PER_SECOND);
	}

	/**
	 * Returns whether another VM has relayed the request to this one, which reaches no
	 * replica either. The other VM knows further ones.
	 * @return true if the request is better given back
	 */
	boolean isRelayedInVain() {
		return this.isRelayed && this.context.reach().isCutOff();
	}

	private void waitOrGiveUp(String cause, boolean isWorthWaiting) {
		long waitedNanos = System.nanoTime() - this.owner.waitingSinceNanos();
		if (!isWorthWaiting || !this.wait.mayGoOn(this.owner.isResponseStarted(), waitedNanos)) {
			this.owner.giveUp(cause);
			return;
		}
		this.wait.begin();
	}

	private void waitForCapacity(String cause, boolean isWorthWaiting) {
		long waitedNanos = System.nanoTime() - this.owner.waitingSinceNanos();
		if (isWorthWaiting && this.wait.mayWaitForCapacity(this.owner.isResponseStarted(), waitedNanos)) {
			this.wait.begin();
			return;
		}
		if (this.owner.isResponseStarted()) {
			this.owner.giveUp(cause);
			return;
		}
		long nowNanos = System.nanoTime();
		OptionalDouble retryAfterSeconds = this.tracker.map((request) -> request.retryAfterSeconds(nowNanos))
			.orElse(OptionalDouble.of(0));
		this.tracker.ifPresent((request) -> request.recordGivenUp(nowNanos));
		if (retryAfterSeconds.isPresent() && retryAfterSeconds.getAsDouble() == 0) {
			this.owner.giveUp(cause);
			return;
		}
		this.owner.giveUp(cause, retryAfterSeconds.orElse(0));
	}

	/**
	 * The request that is dispatched.
	 */
	interface Owner {

		/**
		 * Returns whether the request needs no run any more.
		 * @return true after its end
		 */
		boolean hasEnded();

		/**
		 * Returns whether the caller has received a part of the response.
		 * @return true once the response has started
		 */
		boolean isResponseStarted();

		/**
		 * Returns whether the next run is charged to the retry budget.
		 * @return true if the request may have arrived at a replica before
		 */
		boolean isNextRunRetry();

		/**
		 * Returns whether other requests that wait must be dispatched before this one.
		 * @return false unless load is shed
		 */
		boolean mustWaitForOthers();

		/**
		 * Returns since when the caller has waited.
		 * @return the monotonic time of its request or of the last part of the response
		 */
		long waitingSinceNanos();

		/**
		 * Sends the request.
		 * @param target where to
		 */
		void send(Target target);

		/**
		 * Refuses the request because it, or a part of its prompt, crashed replicas
		 * before.
		 * @param refusal until when, and for what
		 */
		void refuseQuarantined(QuarantineDecision.Refuse refusal);

		/**
		 * Ends the request without a run.
		 * @param cause the reason
		 */
		void giveUp(String cause);

		/**
		 * Ends the request without a run.
		 * @param cause the reason
		 * @param retryAfterSeconds when the caller may come again
		 */
		void giveUp(String cause, double retryAfterSeconds);

		/**
		 * Returns after which time callers of the service usually come again.
		 * @return the time
		 */
		double retryAfterSeconds();

		/** Gives the request back to the VM that has relayed it. */
		void giveBack();

	}

}
