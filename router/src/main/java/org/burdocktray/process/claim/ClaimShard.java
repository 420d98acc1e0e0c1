package org.burdocktray.process.claim;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import io.vavr.control.Either;
import org.burdocktray.connection.platform.StoreError;
import org.burdocktray.connection.platform.StoreRevision;
import org.burdocktray.connection.platform.StoredObject;
import org.burdocktray.model.Refusal;
import org.burdocktray.model.RefusalReason;

/**
 * Decides on the claims of one shard. Performs no I/O: it processes events and returns
 * actions. Invariants:
 * <ul>
 * <li>A claim is granted only if the object, as it was stored durably at some time after
 * the claim arrived, contains the id of that claim.</li>
 * <li>At most one call to the store is in flight.</li>
 * <li>After a write whose response is lost, the object is read. If it still has the
 * version that the write expected, the next write expects the same version, so that at
 * most one of the two writes is applied.</li>
 * <li>A claim whose waiter was refused is never granted, and is released if it is found
 * in the store.</li>
 * </ul>
 * Thread safety: confined to one thread at a time; the current time is passed in with
 * each event.
 */
final class ClaimShard {

	private static final int FAILURES_BEFORE_REFUSAL = 3;

	private static final int MAX_BACKOFF_DOUBLINGS = 4;

	private static final long RETRY_AFTER_MILLIS = 1_000;

	private final ClaimRetention retention;

	private final long retryDelayNanos;

	private final WriteThrottle throttle;

	private final PendingWork work = new PendingWork();

	private List<ClaimAction> actions = new ArrayList<>();

	private Optional<ShardView> view = Optional.empty();

	private Optional<Evaluation> writeInFlight = Optional.empty();

	private OptionalLong readStartedNanos = OptionalLong.empty();

	private Optional<Optional<StoreRevision>> unresolvedWriteVersion = Optional.empty();

	private boolean mustRead;

	private boolean cycleActive;

	private long cycleStartNanos;

	private int consecutiveFailures;

	private long retryAtNanos;

	ClaimShard(ClaimParameters parameters) {
		this.retention = parameters.retention();
		this.retryDelayNanos = TimeUnit.MILLISECONDS.toNanos(parameters.retryDelayMillis());
		this.throttle = new WriteThrottle(parameters);
	}

	/**
	 * Processes an event.
	 * @param event the event
	 * @param now the current time
	 * @return the actions to perform, in this order
	 */
	List<ClaimAction> handle(ClaimEvent event, ClaimTime now) {
		this.actions = new ArrayList<>();
		// Expired claims are refused first: a VM that resumes after a pause must not
		// grant a claim past its deadline.
		refuse(this.work.removeExpiredClaims(now.nanos()), now);
		apply(event, now);
		this.work.expireOutcomeWaiters(now.nanos())
			.forEach((waiterId) -> this.actions.add(new ClaimAction.DeliverRecordResult(waiterId, false)));
		startNextCall(now);
		nextTimerNanos(now).ifPresent((atNanos) -> this.actions.add(new ClaimAction.SetTimer(atNanos)));
		return List.copyOf(this.actions);
	}

	private void apply(ClaimEvent event, ClaimTime now) {
		if (event instanceof ClaimEvent.ClaimRequested requested) {
			this.work.add(new PendingClaim(requested, now.nanos()));
		}
		else if (event instanceof ClaimEvent.OutcomeReported reported) {
			enqueue(PendingOutcome.of(reported, now.nanos()));
		}
		else if (event instanceof ClaimEvent.ObjectRead read) {
			onObjectRead(read.object(), now);
		}
		else if (event instanceof ClaimEvent.ReadFailed) {
			this.readStartedNanos = OptionalLong.empty();
			onCallFailed(now);
		}
		else if (event instanceof ClaimEvent.WriteApplied applied) {
			onWriteApplied(applied.version(), now);
		}
		else if (event instanceof ClaimEvent.WriteFailed failed) {
			onWriteFailed(failed.error(), now);
		}
	}

	private void onObjectRead(Optional<StoredObject> object, ClaimTime now) {
		long asOfNanos = this.readStartedNanos.orElseThrow();
		this.readStartedNanos = OptionalLong.empty();
		Either<String, ClaimTable> table = decode(object);
		if (table.isLeft()) {
			// Overwriting an unreadable object could free keys whose calls ran.
			this.actions.add(new ClaimAction.ReportFault(table.getLeft()));
			onCallFailed(now);
			return;
		}
		Optional<StoreRevision> version = object.map(StoredObject::version);
		ShardView newView = new ShardView(version, table.get(), asOfNanos);
		this.view.ifPresent((previous) -> this.throttle.onObjectRead(!previous.hasVersion(version)));
		this.view = Optional.of(newView);
		this.mustRead = false;
		this.consecutiveFailures = 0;
		if (this.unresolvedWriteVersion.isEmpty() || newView.isNewerThan(this.unresolvedWriteVersion.get())) {
			this.unresolvedWriteVersion = Optional.empty();
			this.work.claims().forEach((claim) -> claim.setMayBeStored(isStored(claim, newView.table())));
		}
	}

	private Either<String, ClaimTable> decode(Optional<StoredObject> object) {
		if (object.isEmpty()) {
			return Either.right(ClaimTable.empty(this.retention));
		}
		Optional<StoreRevision> version = object.map(StoredObject::version);
		Optional<ShardView> cached = this.view.filter((current) -> current.hasVersion(version));
		return cached.<Either<String, ClaimTable>>map((current) -> Either.right(current.table()))
			.orElseGet(() -> ClaimTable.decode(this.retention, object.get().value()));
	}

	private static boolean isStored(PendingClaim claim, ClaimTable table) {
		return table.find(claim.proposal().key())
			.filter((entry) -> entry.claimId().equals(claim.proposal().claimId()))
			.isPresent();
	}

	private void onWriteApplied(StoreRevision version, ClaimTime now) {
		Evaluation evaluation = this.writeInFlight.orElseThrow();
		this.writeInFlight = Optional.empty();
		this.unresolvedWriteVersion = Optional.empty();
		this.consecutiveFailures = 0;
		this.cycleActive = false;
		this.throttle.onWriteApplied();
		this.view = Optional.of(new ShardView(Optional.of(version), evaluation.table(), evaluation.asOfNanos()));
		deliverResults(evaluation, now);
	}

	private void onWriteFailed(StoreError error, ClaimTime now) {
		Evaluation evaluation = this.writeInFlight.orElseThrow();
		this.writeInFlight = Optional.empty();
		if (error == StoreError.UNRESOLVED) {
			this.unresolvedWriteVersion = Optional.of(evaluation.expectedVersion());
			this.mustRead = true;
			onCallFailed(now);
			return;
		}
		if (this.unresolvedWriteVersion.isEmpty()) {
			this.work.claims().forEach((claim) -> claim.setMayBeStored(false));
		}
		if (error == StoreError.CONFLICT || error == StoreError.NOT_FOUND) {
			this.consecutiveFailures = 0;
			this.mustRead = true;
			this.throttle.onConflict();
			return;
		}
		if (error == StoreError.TOO_LARGE) {
			this.actions.add(new ClaimAction.ReportFault(
					"the store rejected a value of " + evaluation.table().bytes() + " bytes as too large"));
		}
		onCallFailed(now);
	}

	private void onCallFailed(ClaimTime now) {
		this.consecutiveFailures++;
		int doublings = Math.min(MAX_BACKOFF_DOUBLINGS, this.consecutiveFailures - 1);
		this.retryAtNanos = now.nanos() + (this.retryDelayNanos << doublings);
		if (this.consecutiveFailures >= FAILURES_BEFORE_REFUSAL) {
			refuse(this.work.removeAllClaims(), now);
		}
	}

	private void refuse(List<PendingClaim> claims, ClaimTime now) {
		for (PendingClaim claim : claims) {
			this.actions.add(new ClaimAction.DeliverDecision(claim.proposal().claimId(),
					new ClaimDecision.Refused(Refusal.notRunRetryAfter(RefusalReason.PLATFORM_UNAVAILABLE,
							"The idempotency key could not be claimed in time.", RETRY_AFTER_MILLIS))));
			if (claim.needsRelease()) {
				enqueue(PendingOutcome.release(claim, now.nanos()));
			}
		}
	}

	private void enqueue(PendingOutcome outcome) {
		this.work.add(outcome).forEach((dropped) -> deliverRecordResult(dropped, false));
	}

	private void startNextCall(ClaimTime now) {
		if (isBusy() || isIdle() || now.nanos() < this.retryAtNanos || now.nanos() < nextCycleNanos(now)) {
			return;
		}
		if (!this.cycleActive) {
			this.cycleActive = true;
			this.cycleStartNanos = now.nanos();
			this.throttle.onCycleStarted(now.nanos());
		}
		if (this.view.isEmpty() || this.mustRead || isLikelyOutdated(this.view.get())) {
			startRead(now);
			return;
		}
		evaluate(this.view.get(), now);
	}

	private boolean isLikelyOutdated(ShardView current) {
		return this.throttle.shouldReadFirst() && current.asOfNanos() < this.cycleStartNanos;
	}

	private void startRead(ClaimTime now) {
		this.readStartedNanos = OptionalLong.of(now.nanos());
		this.actions.add(new ClaimAction.ReadObject());
	}

	private void evaluate(ShardView current, ClaimTime now) {
		ClaimTable table = current.table().copy();
		Map<Long, Boolean> recorded = new LinkedHashMap<>();
		for (Map.Entry<Long, PendingOutcome> pending : this.work.outcomes().entrySet()) {
			PendingOutcome outcome = pending.getValue();
			recorded.put(pending.getKey(), table.record(outcome.ticket(), outcome.outcome(), now.epochSeconds()));
		}
		Map<String, ClaimDecision> decisions = new LinkedHashMap<>();
		for (PendingClaim claim : this.work.claims()) {
			decisions.put(claim.proposal().claimId(), table.claim(claim.proposal(), now.epochSeconds()));
		}
		boolean mustWrite = table.isChanged() || this.unresolvedWriteVersion.isPresent();
		if (mustWrite) {
			table.compact(now.epochSeconds());
			startWrite(new Evaluation(current.version(), table, decisions, recorded, now.nanos()));
			return;
		}
		if (this.work.hasArrivalsAfter(current.asOfNanos())) {
			startRead(now);
			return;
		}
		this.cycleActive = false;
		deliverResults(new Evaluation(current.version(), current.table(), decisions, recorded, current.asOfNanos()),
				now);
	}

	private void startWrite(Evaluation evaluation) {
		for (PendingClaim claim : this.work.claims()) {
			claim.setMayBeStored(true);
		}
		this.writeInFlight = Optional.of(evaluation);
		this.actions.add(new ClaimAction.WriteObject(evaluation.expectedVersion(), evaluation.table().encode()));
	}

	// Called only when the table of the evaluation is known to be stored durably.
	private void deliverResults(Evaluation evaluation, ClaimTime now) {
		evaluation.decisions().forEach((claimId, decision) -> this.work.removeClaim(claimId).ifPresent((claim) -> {
			this.actions.add(new ClaimAction.DeliverDecision(claimId, decision));
			if (claim.mayBeCommittedByPeer() && !(decision instanceof ClaimDecision.Granted)) {
				enqueue(PendingOutcome.release(claim, now.nanos()));
			}
		}));
		evaluation.recorded()
			.forEach((sequence, durable) -> this.work.removeOutcome(sequence)
				.ifPresent((outcome) -> deliverRecordResult(outcome, durable)));
	}

	private void deliverRecordResult(PendingOutcome outcome, boolean durable) {
		outcome.waiterId().ifPresent((id) -> this.actions.add(new ClaimAction.DeliverRecordResult(id, durable)));
	}

	private boolean isBusy() {
		return this.writeInFlight.isPresent() || this.readStartedNanos.isPresent();
	}

	// An unresolved write is resolved even without waiters, since it may contain a claim
	// that its VM no longer waits for.
	private boolean isIdle() {
		return this.work.isEmpty() && this.unresolvedWriteVersion.isEmpty();
	}

	private long nextCycleNanos(ClaimTime now) {
		if (this.cycleActive) {
			return now.nanos();
		}
		return this.work.nextCycleNanos(this.throttle, now.nanos())
			.orElse(this.throttle.nextClaimCycleNanos(now.nanos()));
	}

	private OptionalLong nextTimerNanos(ClaimTime now) {
		OptionalLong deadline = this.work.nextDeadlineNanos();
		if (isBusy() || isIdle()) {
			return deadline;
		}
		long nextNanos = Math.max(this.retryAtNanos, nextCycleNanos(now));
		return OptionalLong.of(Math.min(nextNanos, deadline.orElse(Long.MAX_VALUE)));
	}

	/**
	 * The results for all pending claims and outcomes, based on one state of the table.
	 *
	 * @param expectedVersion the version of the object that the table is based on; a
	 * write of the table replaces it
	 * @param table the entries
	 * @param decisions the decisions by claim id
	 * @param recorded for each outcome, by its sequence number, whether the table
	 * reflects it
	 * @param asOfNanos a time at or after which the stored object has this state
	 */
	private record Evaluation(Optional<StoreRevision> expectedVersion, ClaimTable table,
			Map<String, ClaimDecision> decisions, Map<Long, Boolean> recorded, long asOfNanos) {

	}

}
