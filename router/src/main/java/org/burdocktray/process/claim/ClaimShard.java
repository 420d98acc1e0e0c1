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
 * Thread safety: confined to one thread at a time; the current time is passed in with each event.
 */
final class ClaimShard {

	private static final int FAILURES_BEFORE_REFUSAL = 3;

	private static final int MAX_BACKOFF_DOUBLINGS = 4;

	private static final long RETRY_AFTER_MILLIS = 1_000;

	private final ClaimRetention retention;

	private final long retryDelayNanos;

	private final WritePacer pacer;

	private final PendingWork work = new PendingWork();

	private List<ClaimAction> actions = new ArrayList<>();

	private Optional<ShardView> view = Optional.empty();

	private Optional<Group> writing = Optional.empty();

	private OptionalLong readingSinceNanos = OptionalLong.empty();

	private Optional<OptionalLong> unresolvedVersion = Optional.empty();

	private boolean mustRead;

	private boolean turnOpen;

	private long turnStartNanos;

	private int failures;

	private long retryAtNanos;

	ClaimShard(ClaimParameters parameters) {
		this.retention = parameters.retention();
		this.retryDelayNanos = TimeUnit.MILLISECONDS.toNanos(parameters.retryDelayMillis());
		this.pacer = new WritePacer(parameters);
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
		refuse(this.work.takeExpiredClaims(now.nanos()), now);
		apply(event, now);
		this.work.expireRecordWaiters(now.nanos())
			.forEach((waiterId) -> this.actions.add(new ClaimAction.AnswerOutcome(waiterId, false)));
		advance(now);
		nextWakeNanos(now).ifPresent((atNanos) -> this.actions.add(new ClaimAction.SetTimer(atNanos)));
		return List.copyOf(this.actions);
	}

	private void apply(ClaimEvent event, ClaimTime now) {
		if (event instanceof ClaimEvent.ClaimRequested requested) {
			this.work.add(new PendingClaim(requested, now.nanos()));
		}
		else if (event instanceof ClaimEvent.OutcomeReported reported) {
			enqueue(PendingRecord.of(reported, now.nanos()));
		}
		else if (event instanceof ClaimEvent.ObjectRead read) {
			objectRead(read.object(), now);
		}
		else if (event instanceof ClaimEvent.ReadFailed) {
			this.readingSinceNanos = OptionalLong.empty();
			callFailed(now);
		}
		else if (event instanceof ClaimEvent.WriteApplied applied) {
			writeApplied(applied.version(), now);
		}
		else if (event instanceof ClaimEvent.WriteFailed failed) {
			writeFailed(failed.error(), now);
		}
	}

	private void objectRead(Optional<StoredObject> object, ClaimTime now) {
		long asOfNanos = this.readingSinceNanos.orElseThrow();
		this.readingSinceNanos = OptionalLong.empty();
		Either<String, ClaimTable> table = decode(object);
		if (table.isLeft()) {
			// Overwriting an unreadable object could free keys whose calls ran.
			this.actions.add(new ClaimAction.ReportFault(table.getLeft()));
			callFailed(now);
			return;
		}
		OptionalLong version = object.map((stored) -> OptionalLong.of(stored.version())).orElse(OptionalLong.empty());
		ShardView newView = new ShardView(version, table.get(), asOfNanos);
		this.view.ifPresent((previous) -> this.pacer.read(!previous.isVersion(version)));
		this.view = Optional.of(newView);
		this.mustRead = false;
		this.failures = 0;
		if (this.unresolvedVersion.isEmpty() || newView.isPast(this.unresolvedVersion.get())) {
			this.unresolvedVersion = Optional.empty();
			this.work.claims().forEach((claim) -> claim.setExposed(isStored(claim, newView.table())));
		}
	}

	private Either<String, ClaimTable> decode(Optional<StoredObject> object) {
		if (object.isEmpty()) {
			return Either.right(ClaimTable.empty(this.retention));
		}
		OptionalLong version = OptionalLong.of(object.get().version());
		Optional<ShardView> cached = this.view.filter((current) -> current.isVersion(version));
		return cached.<Either<String, ClaimTable>>map((current) -> Either.right(current.table()))
			.orElseGet(() -> ClaimTable.decode(this.retention, object.get().value()));
	}

	private static boolean isStored(PendingClaim claim, ClaimTable table) {
		return table.find(claim.proposal().key())
			.filter((entry) -> entry.claimId().equals(claim.proposal().claimId()))
			.isPresent();
	}

	private void writeApplied(long version, ClaimTime now) {
		Group evaluation = this.writing.orElseThrow();
		this.writing = Optional.empty();
		this.unresolvedVersion = Optional.empty();
		this.failures = 0;
		this.turnOpen = false;
		this.pacer.applied();
		this.view = Optional.of(new ShardView(OptionalLong.of(version), evaluation.table(), evaluation.startedNanos()));
		settle(evaluation, now);
	}

	private void writeFailed(StoreError error, ClaimTime now) {
		Group evaluation = this.writing.orElseThrow();
		this.writing = Optional.empty();
		if (error == StoreError.UNRESOLVED) {
			this.unresolvedVersion = Optional.of(evaluation.expectedVersion());
			this.mustRead = true;
			callFailed(now);
			return;
		}
		if (this.unresolvedVersion.isEmpty()) {
			this.work.claims().forEach((claim) -> claim.setExposed(false));
		}
		if (error == StoreError.CONFLICT || error == StoreError.NOT_FOUND) {
			this.failures = 0;
			this.mustRead = true;
			this.pacer.conflicted();
			return;
		}
		if (error == StoreError.TOO_LARGE) {
			this.actions.add(new ClaimAction.ReportFault("the store rejected a value of " + evaluation.table().bytes() + " bytes as too large"));
		}
		callFailed(now);
	}

	private void callFailed(ClaimTime now) {
		this.failures++;
		int doublings = Math.min(MAX_BACKOFF_DOUBLINGS, this.failures - 1);
		this.retryAtNanos = now.nanos() + (this.retryDelayNanos << doublings);
		if (this.failures >= FAILURES_BEFORE_REFUSAL) {
			refuse(this.work.takeAllClaims(), now);
		}
	}

	private void refuse(List<PendingClaim> claims, ClaimTime now) {
		for (PendingClaim claim : claims) {
			this.actions.add(new ClaimAction.AnswerClaim(claim.proposal().claimId(),
					new ClaimDecision.Refused(Refusal.notRunRetryAfter(RefusalReason.PLATFORM_UNAVAILABLE,
							"The idempotency key could not be claimed in time.", RETRY_AFTER_MILLIS))));
			if (claim.needsRelease()) {
				enqueue(PendingRecord.release(claim, now.nanos()));
			}
		}
	}

	private void enqueue(PendingRecord outcome) {
		this.work.add(outcome).forEach((dropped) -> answer(dropped, false));
	}

	private void advance(ClaimTime now) {
		if (isBusy() || isIdle() || now.nanos() < this.retryAtNanos || now.nanos() < turnNanos(now)) {
			return;
		}
		if (!this.turnOpen) {
			this.turnOpen = true;
			this.turnStartNanos = now.nanos();
			this.pacer.turnStarted(now.nanos());
		}
		if (this.view.isEmpty() || this.mustRead || isLikelyOutdated(this.view.get())) {
			read(now);
			return;
		}
		decide(this.view.get(), now);
	}

	private boolean isLikelyOutdated(ShardView current) {
		return this.pacer.shouldReadFirst() && current.asOfNanos() < this.turnStartNanos;
	}

	private void read(ClaimTime now) {
		this.readingSinceNanos = OptionalLong.of(now.nanos());
		this.actions.add(new ClaimAction.ReadObject());
	}

	private void decide(ShardView current, ClaimTime now) {
		ClaimTable table = current.table().copy();
		Map<Long, Boolean> recorded = new LinkedHashMap<>();
		for (Map.Entry<Long, PendingRecord> pending : this.work.records().entrySet()) {
			PendingRecord outcome = pending.getValue();
			recorded.put(pending.getKey(), table.record(outcome.ticket(), outcome.outcome(), now.epochSeconds()));
		}
		Map<String, ClaimDecision> decisions = new LinkedHashMap<>();
		for (PendingClaim claim : this.work.claims()) {
			decisions.put(claim.proposal().claimId(), table.claim(claim.proposal(), now.epochSeconds()));
		}
		boolean mustWrite = table.isChanged() || this.unresolvedVersion.isPresent();
		if (mustWrite) {
			table.compact(now.epochSeconds());
			write(new Group(current.version(), table, decisions, recorded, now.nanos()));
			return;
		}
		if (this.work.hasArrivalsAfter(current.asOfNanos())) {
			read(now);
			return;
		}
		this.turnOpen = false;
		settle(new Group(current.version(), current.table(), decisions, recorded, current.asOfNanos()), now);
	}

	private void write(Group evaluation) {
		for (PendingClaim claim : this.work.claims()) {
			claim.setExposed(true);
		}
		this.writing = Optional.of(evaluation);
		this.actions.add(new ClaimAction.WriteObject(evaluation.expectedVersion(), evaluation.table().encode()));
	}

	// Called only when the table of the evaluation is known to be stored durably.
	private void settle(Group evaluation, ClaimTime now) {
		evaluation.decisions().forEach((claimId, decision) -> this.work.takeClaim(claimId).ifPresent((claim) -> {
			this.actions.add(new ClaimAction.AnswerClaim(claimId, decision));
			if (claim.mayBeEnteredLater() && !(decision instanceof ClaimDecision.Granted)) {
				enqueue(PendingRecord.release(claim, now.nanos()));
			}
		}));
		evaluation.recorded()
			.forEach((sequence, durable) -> this.work.takeRecord(sequence)
				.ifPresent((outcome) -> answer(outcome, durable)));
	}

	private void answer(PendingRecord outcome, boolean durable) {
		outcome.recordId().ifPresent((id) -> this.actions.add(new ClaimAction.AnswerOutcome(id, durable)));
	}

	private boolean isBusy() {
		return this.writing.isPresent() || this.readingSinceNanos.isPresent();
	}

	// An unresolved write is resolved even without waiters, since it may contain a claim
	// that its VM no longer waits for.
	private boolean isIdle() {
		return this.work.isEmpty() && this.unresolvedVersion.isEmpty();
	}

	private long turnNanos(ClaimTime now) {
		if (this.turnOpen) {
			return now.nanos();
		}
		return this.work.nextTurnNanos(this.pacer, now.nanos()).orElse(this.pacer.nextClaimTurnNanos(now.nanos()));
	}

	private OptionalLong nextWakeNanos(ClaimTime now) {
		OptionalLong deadline = this.work.nextDeadlineNanos();
		if (isBusy() || isIdle()) {
			return deadline;
		}
		long nextNanos = Math.max(this.retryAtNanos, turnNanos(now));
		return OptionalLong.of(Math.min(nextNanos, deadline.orElse(Long.MAX_VALUE)));
	}

	/**
	 * The results for all pending claims and outcomes, based on one state of the table.
	 *
	 * @param expectedVersion the version of the object that the table is based on; a write
	 * of the table replaces it
	 * @param table the entries
	 * @param decisions the decisions by claim id
	 * @param recorded for each outcome, by its sequence number, whether the table reflects
	 * it
	 * @param startedNanos a time at or after which the stored object has this state
	 */
	private record Group(OptionalLong expectedVersion, ClaimTable table, Map<String, ClaimDecision> decisions,
			Map<Long, Boolean> recorded, long startedNanos) {

	}

}
