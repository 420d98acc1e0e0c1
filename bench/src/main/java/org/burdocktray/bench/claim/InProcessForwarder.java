package org.burdocktray.bench.claim;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.core.Maybe;
import io.reactivex.rxjava3.core.Scheduler;
import org.burdocktray.process.claim.ClaimBatch;
import org.burdocktray.process.claim.ClaimForwarder;
import org.burdocktray.process.claim.OutcomeBatch;
import org.burdocktray.process.claim.ShardPreference;
import org.burdocktray.process.claim.StoreClaimRegistry;

/**
 * Forwards batches to the other registries of the same process after a fixed delay.
 * Thread safety: confined to the thread of the virtual time.
 */
final class InProcessForwarder implements ClaimForwarder {

	private static final long ONE_WAY_MILLIS = 1;

	private final String vmName;

	private final List<String> vmNames;

	private final Map<String, StoreClaimRegistry> registries;

	private final Scheduler scheduler;

	InProcessForwarder(String vmName, List<String> vmNames, Map<String, StoreClaimRegistry> registries,
			Scheduler scheduler) {
		this.vmName = vmName;
		this.vmNames = vmNames;
		this.registries = registries;
		this.scheduler = scheduler;
	}

	@Override
	public boolean prefersPeer(int shard) {
		return !preferredVm(shard).equals(this.vmName);
	}

	@Override
	public Maybe<ClaimBatch.Reply> forwardClaims(ClaimBatch batch) {
		return delayOneWay()
			.flatMap((tick) -> this.registries.get(preferredVm(batch.shard())).acceptClaims(batch).toMaybe())
			.delay(ONE_WAY_MILLIS, TimeUnit.MILLISECONDS, this.scheduler);
	}

	@Override
	public Maybe<OutcomeBatch.Reply> forwardOutcomes(OutcomeBatch batch) {
		return delayOneWay()
			.flatMap((tick) -> this.registries.get(preferredVm(batch.shard())).acceptOutcomes(batch).toMaybe())
			.delay(ONE_WAY_MILLIS, TimeUnit.MILLISECONDS, this.scheduler);
	}

	private Maybe<Long> delayOneWay() {
		return Maybe.timer(ONE_WAY_MILLIS, TimeUnit.MILLISECONDS, this.scheduler);
	}

	private String preferredVm(int shard) {
		return ShardPreference.preferred(shard, this.vmNames).orElseThrow();
	}

}
