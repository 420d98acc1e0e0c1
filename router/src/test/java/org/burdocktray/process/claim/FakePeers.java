package org.burdocktray.process.claim;

import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Function;
import java.util.function.Supplier;

import io.reactivex.rxjava3.core.Maybe;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.subjects.MaybeSubject;

/**
 * Forwards batches between the VMs of a run and loses some of them. Thread safety:
 * confined to the thread of the virtual time.
 */
final class FakePeers implements ClaimForwarder {

	private static final int LOST_PERCENT = 5;

	private final String selfName;

	private final Function<Integer, FakeVm> preferredVm;

	private final Function<FakeVm, Boolean> isReachable;

	private final SplittableRandom random;

	private final Map<Fault, Integer> faults;

	private final Supplier<FakeVm> selfVm;

	FakePeers(Supplier<FakeVm> selfVm, String selfName, Function<Integer, FakeVm> preferredVm,
			Function<FakeVm, Boolean> isReachable, SplittableRandom random, Map<Fault, Integer> faults) {
		this.selfVm = selfVm;
		this.selfName = selfName;
		this.preferredVm = preferredVm;
		this.isReachable = isReachable;
		this.random = random;
		this.faults = faults;
	}

	@Override
	public boolean prefersPeer(int shard) {
		return !this.preferredVm.apply(shard).name().equals(this.selfName);
	}

	@Override
	public Maybe<ClaimBatch.Reply> forwardClaims(ClaimBatch batch) {
		return send(batch.shard(), (registry) -> registry.acceptClaims(batch));
	}

	@Override
	public Maybe<OutcomeBatch.Reply> forwardOutcomes(OutcomeBatch batch) {
		return send(batch.shard(), (registry) -> registry.acceptOutcomes(batch));
	}

	private <T> Maybe<T> send(int shard, Function<StoreClaimRegistry, Single<T>> call) {
		FakeVm target = this.preferredVm.apply(shard);
		MaybeSubject<T> result = MaybeSubject.create();
		if (isLost(target)) {
			return result;
		}
		target.scheduler().runAfter(1, () -> call.apply((StoreClaimRegistry) target.registry()).subscribe((reply) -> {
			if (!isLost(target)) {
				this.selfVm.get().scheduler().runAfter(1, () -> result.onSuccess(reply));
			}
		}));
		return result;
	}

	private boolean isLost(FakeVm target) {
		boolean lost = this.random.nextInt(100) < LOST_PERCENT || !this.isReachable.apply(target);
		if (lost) {
			this.faults.merge(Fault.FORWARD_LOST, 1, Integer::sum);
		}
		return lost;
	}

}
