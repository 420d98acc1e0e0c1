package org.burdocktray.process.claim;

import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;

import io.reactivex.rxjava3.core.Observable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.subjects.SingleSubject;
import org.burdocktray.connection.platform.PlatformStore;
import org.burdocktray.model.Refusal;
import org.burdocktray.model.RefusalReason;

/**
 * Stores claims in shard objects of the platform's store. A claim is forwarded to the
 * preferred VM of its shard; if that VM does not reply, this VM commits the claim itself
 * under the same claim id. Invariant: only the VM that created a claim id grants the
 * claim to a caller or releases it. Thread safety: can be called from any thread; the
 * events of one shard are processed one at a time.
 */
public final class StoreClaimRegistry implements ClaimRegistry {

	/** The key prefix of the shard objects in the store. */
	public static final String KEY_PREFIX = "claims/";

	/**
	 * The refusal reasons that follow from the stored entries and not from this VM's
	 * connection to the store, so that they are also valid for the VM that forwarded the
	 * claim.
	 */
	private static final Set<RefusalReason> FINAL_REASONS = EnumSet.of(RefusalReason.KEY_REUSED,
			RefusalReason.KEY_IN_PROGRESS, RefusalReason.KEY_OUTCOME_UNKNOWN, RefusalReason.OVERLOADED);

	private static final ClaimDecision INTERNAL_ERROR = new ClaimDecision.Refused(
			Refusal.notRun(RefusalReason.INTERNAL, "The idempotency key could not be claimed."));

	private final String vmName;

	private final ClaimParameters parameters;

	private final Scheduler scheduler;

	private final ClaimClock clock;

	private final ClaimIdGenerator claimIds;

	private final List<ShardDriver> shards;

	private final List<ShardForwarder> forwarders;

	/**
	 * Creates the registry of one VM.
	 * @param vmName the name of this VM
	 * @param store the platform's store
	 * @param forwarder the forwarder of claims to other VMs
	 * @param parameters the parameters, the same as those of the other VMs
	 * @param scheduler the scheduler that runs timers and emits decisions and results
	 * @param clock the clock
	 * @param random the generator of claim ids; its sequence must differ between VMs and
	 * restarts
	 */
	public StoreClaimRegistry(String vmName, PlatformStore store, ClaimForwarder forwarder, ClaimParameters parameters,
			Scheduler scheduler, ClaimClock clock, RandomGenerator random) {
		this.vmName = vmName;
		this.parameters = parameters;
		this.scheduler = scheduler;
		this.clock = clock;
		this.claimIds = new ClaimIdGenerator(random);
		this.shards = IntStream.range(0, parameters.shardCount())
			.mapToObj((shard) -> new ShardDriver(objectKey(shard), store, parameters, scheduler, clock))
			.toList();
		this.forwarders = IntStream.range(0, parameters.shardCount())
			.mapToObj((shard) -> new ShardForwarder(shard, forwarder, parameters, scheduler, clock))
			.toList();
	}

	/**
	 * Returns the key of a shard's object.
	 * @param shard the index of the shard
	 * @return the key in the platform's store
	 */
	public static String objectKey(int shard) {
		return KEY_PREFIX + shard;
	}

	@Override
	public Single<ClaimDecision> claim(ClaimRequest request) {
		return Single.defer(() -> {
			SingleSubject<ClaimDecision> result = SingleSubject.create();
			AtomicBoolean completed = new AtomicBoolean();
			requestDecision(request).onErrorReturnItem(INTERNAL_ERROR).subscribe((decision) -> {
				if (completed.compareAndSet(false, true)) {
					result.onSuccess(decision);
					return;
				}
				releaseAbandoned(decision);
			});
			return result.doOnDispose(() -> completed.set(true));
		});
	}

	// The caller disconnected before the decision, so the call is not dispatched.
	private void releaseAbandoned(ClaimDecision decision) {
		if (decision instanceof ClaimDecision.Granted granted) {
			recordNotRun(granted.ticket()).subscribe();
		}
	}

	private Single<ClaimDecision> requestDecision(ClaimRequest request) {
		return Single.defer(() -> {
			ClaimProposal proposal = new ClaimProposal(this.claimIds.next(), this.vmName, request);
			long deadlineNanos = nanosFromNow(request.deadlineMillis());
			int shard = proposal.key().shard(this.parameters.shardCount());
			long waitMillis = Math.min(this.parameters.forwardTimeoutMillis(), request.deadlineMillis() / 2);
			return this.forwarders.get(shard)
				.claim(withDeadline(proposal, waitMillis / 4 * 3), waitMillis)
				.flatMap((result) -> claimAfterForward(result, shard, proposal, deadlineNanos));
		}).observeOn(this.scheduler);
	}

	private Single<ClaimDecision> claimAfterForward(ForwardResult<ClaimDecision> result, int shard,
			ClaimProposal proposal, long deadlineNanos) {
		if (result instanceof ForwardResult.Replied<ClaimDecision> replied) {
			return Single.just(replied.reply());
		}
		ClaimOrigin origin = (result instanceof ForwardResult.Unresolved) ? ClaimOrigin.FORWARD_UNRESOLVED
				: ClaimOrigin.LOCAL;
		return this.shards.get(shard).claim(proposal, deadlineNanos, origin);
	}

	@Override
	public Single<Boolean> recordNotRun(ClaimTicket ticket) {
		return record(ticket, new ClaimOutcome.NotRun());
	}

	@Override
	public Single<Boolean> recordResponse(ClaimTicket ticket, RecordedResponse response) {
		return record(ticket, new ClaimOutcome.Completed(response));
	}

	@Override
	public Single<Boolean> recordUnknown(ClaimTicket ticket) {
		return record(ticket, new ClaimOutcome.OutcomeUnknown());
	}

	private Single<Boolean> record(ClaimTicket ticket, ClaimOutcome outcome) {
		return Single.defer(() -> {
			int shard = new ClaimKey(ticket.organisation(), ticket.idempotencyKey())
				.shard(this.parameters.shardCount());
			long deadlineNanos = nanosFromNow(this.parameters.recordTimeoutMillis());
			return this.forwarders.get(shard)
				.record(ticket, outcome)
				.flatMap((result) -> (result instanceof ForwardResult.Replied) ? Single.just(true)
						: this.shards.get(shard).record(ticket, outcome, deadlineNanos));
		}).observeOn(this.scheduler);
	}

	/**
	 * Commits claims for another VM.
	 * @param batch the claims
	 * @return the reply to that VM; a decision that is valid only for this VM is left
	 * empty
	 */
	public Single<ClaimBatch.Reply> acceptClaims(ClaimBatch batch) {
		ShardDriver shard = this.shards.get(batch.shard());
		return Observable.fromIterable(batch.claims())
			.flatMapSingle((proposal) -> shard
				.claim(proposal, nanosFromNow(proposal.request().deadlineMillis()), ClaimOrigin.FROM_PEER)
				.map((decision) -> new ClaimReply(proposal.claimId(), Optional.of(decision).filter(this::isFinal))))
			.toList()
			.map(ClaimBatch.Reply::new);
	}

	/**
	 * Records outcomes for another VM.
	 * @param batch the outcomes
	 * @return the reply to that VM
	 */
	public Single<OutcomeBatch.Reply> acceptOutcomes(OutcomeBatch batch) {
		ShardDriver shard = this.shards.get(batch.shard());
		long deadlineNanos = nanosFromNow(this.parameters.forwardTimeoutMillis());
		return Observable.fromIterable(batch.outcomes())
			.flatMapMaybe((outcome) -> shard.record(outcome.ticket(), outcome.outcome(), deadlineNanos)
				.filter((durable) -> durable)
				.map((durable) -> outcome.ticket().claimId()))
			.toList()
			.map(OutcomeBatch.Reply::new);
	}

	private boolean isFinal(ClaimDecision decision) {
		return !(decision instanceof ClaimDecision.Refused refused)
				|| FINAL_REASONS.contains(refused.refusal().reason());
	}

	private static ClaimProposal withDeadline(ClaimProposal proposal, long deadlineMillis) {
		ClaimRequest request = proposal.request();
		return new ClaimProposal(proposal.claimId(), proposal.vm(), new ClaimRequest(request.organisation(),
				request.idempotencyKey(), request.requestDigest(), deadlineMillis));
	}

	private long nanosFromNow(long millis) {
		return this.clock.now().nanos() + TimeUnit.MILLISECONDS.toNanos(millis);
	}

}
