package org.burdocktray.process.claim;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;

import io.reactivex.rxjava3.core.Maybe;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;

/**
 * Forwards the claims and outcomes of one shard. After a missing reply, forwarding is
 * suspended for the duration of one timeout, so that an unreachable peer delays few
 * claims. Thread safety: can be called from any thread.
 */
final class ShardForwarder {

	private final int shard;

	private final ClaimForwarder forwarder;

	private final ClaimClock clock;

	private final long timeoutMillis;

	private final AtomicLong suspendedUntilNanos;

	private final ForwardBatcher<ClaimProposal, ClaimDecision> claims;

	private final ForwardBatcher<OutcomeBatch.TicketOutcome, Boolean> outcomes;

	ShardForwarder(int shard, ClaimForwarder forwarder, ClaimParameters parameters, Scheduler scheduler,
			ClaimClock clock) {
		this.shard = shard;
		this.forwarder = forwarder;
		this.clock = clock;
		this.timeoutMillis = parameters.forwardTimeoutMillis();
		this.suspendedUntilNanos = new AtomicLong(clock.now().nanos());
		this.claims = new ForwardBatcher<>(scheduler, ClaimProposal::claimId, this::sendClaims);
		this.outcomes = new ForwardBatcher<>(scheduler, (outcome) -> outcome.ticket().claimId(), this::sendOutcomes);
	}

	Single<ForwardResult<ClaimDecision>> claim(ClaimProposal proposal, long timeoutMillis) {
		if (!shouldForward()) {
			return Single.just(new ForwardResult.NotSent<>());
		}
		return this.claims.submit(proposal, timeoutMillis).doOnSuccess(this::suspendIfUnresolved);
	}

	Single<ForwardResult<Boolean>> record(ClaimTicket ticket, ClaimOutcome outcome) {
		if (!shouldForward()) {
			return Single.just(new ForwardResult.NotSent<>());
		}
		return this.outcomes.submit(new OutcomeBatch.TicketOutcome(ticket, outcome), this.timeoutMillis)
			.doOnSuccess(this::suspendIfUnresolved);
	}

	private boolean shouldForward() {
		return this.forwarder.prefersPeer(this.shard) && this.clock.now().nanos() - this.suspendedUntilNanos.get() >= 0;
	}

	private void suspendIfUnresolved(ForwardResult<?> result) {
		if (result instanceof ForwardResult.Unresolved<?>) {
			this.suspendedUntilNanos.set(this.clock.now().nanos() + TimeUnit.MILLISECONDS.toNanos(this.timeoutMillis));
		}
	}

	private Maybe<Map<String, ClaimDecision>> sendClaims(List<ClaimProposal> proposals) {
		return this.forwarder.forwardClaims(new ClaimBatch(this.shard, proposals))
			.map((reply) -> reply.replies()
				.stream()
				.filter((claim) -> claim.decision().isPresent())
				.collect(Collectors.toMap(ClaimReply::claimId, (claim) -> claim.decision().get())));
	}

	private Maybe<Map<String, Boolean>> sendOutcomes(List<OutcomeBatch.TicketOutcome> batch) {
		return this.forwarder.forwardOutcomes(new OutcomeBatch(this.shard, batch))
			.map((reply) -> reply.durableClaimIds()
				.stream()
				.distinct()
				.collect(Collectors.toMap((claimId) -> claimId, (claimId) -> true)));
	}

}
