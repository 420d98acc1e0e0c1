package org.burdocktray.process.claim;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.core.Single;
import io.vavr.control.Either;
import org.burdocktray.connection.platform.PlatformStore;
import org.burdocktray.connection.platform.StoreError;
import org.burdocktray.connection.platform.StoreRevision;
import org.burdocktray.connection.platform.StoredObject;
import org.burdocktray.model.Refusal;
import org.burdocktray.model.RefusalReason;

/**
 * A baseline with leases only: a key may run again after its lease has expired.
 */
final class LeaseRegistry implements ClaimRegistry {

	private static final long LEASE_MILLIS = 3_000;

	private static final String DONE = "done";

	private final PlatformStore store;

	private final FakeVm vm;

	LeaseRegistry(PlatformStore store, FakeVm vm) {
		this.store = store;
		this.vm = vm;
	}

	@Override
	public Single<ClaimDecision> claim(ClaimRequest request) {
		return this.store.read(key(request.organisation(), request.idempotencyKey()))
			.flatMap((result) -> result.fold((error) -> Single.just(refused()), (object) -> decide(request, object)))
			.timeout(request.deadlineMillis(), TimeUnit.MILLISECONDS, this.vm.scheduler(), Single.just(refused()));
	}

	private Single<ClaimDecision> decide(ClaimRequest request, Optional<StoredObject> object) {
		String key = key(request.organisation(), request.idempotencyKey());
		long nowMillis = this.vm.scheduler().now(TimeUnit.MILLISECONDS);
		String lease = Long.toString(nowMillis + LEASE_MILLIS);
		if (object.isEmpty()) {
			return this.store.create(key, lease).map((result) -> granted(request, result));
		}
		String value = object.get().value();
		if (value.equals(DONE)) {
			return Single.just(new ClaimDecision.Replay(new RecordedResponse(200, "", "", false)));
		}
		if (Long.parseLong(value) > nowMillis) {
			return Single.just(new ClaimDecision.Refused(Refusal.mayHaveRun(RefusalReason.KEY_IN_PROGRESS, "")));
		}
		return this.store.update(key, object.get().version(), lease).map((result) -> granted(request, result));
	}

	private static ClaimDecision granted(ClaimRequest request, Either<StoreError, StoredObject> result) {
		if (result.isLeft()) {
			return refused();
		}
		return new ClaimDecision.Granted(new ClaimTicket(request.organisation(), request.idempotencyKey(), ""));
	}

	private static ClaimDecision refused() {
		return new ClaimDecision.Refused(Refusal.notRunRetryAfter(RefusalReason.PLATFORM_UNAVAILABLE, "", 1_000));
	}

	private static String key(String organisation, String idempotencyKey) {
		return "leases/" + organisation + "/" + idempotencyKey;
	}

	@Override
	public Single<Boolean> recordNotRun(ClaimTicket ticket) {
		return overwrite(ticket, "0");
	}

	@Override
	public Single<Boolean> recordResponse(ClaimTicket ticket, RecordedResponse response) {
		return overwrite(ticket, DONE);
	}

	@Override
	public Single<Boolean> recordUnknown(ClaimTicket ticket) {
		return Single.just(true);
	}

	private Single<Boolean> overwrite(ClaimTicket ticket, String value) {
		String key = key(ticket.organisation(), ticket.idempotencyKey());
		return this.store.read(key)
			.flatMap((result) -> result.fold((error) -> Single.just(false),
					(object) -> this.store
						.update(key, object.map(StoredObject::version).orElse(StoreRevision.NONE), value)
						.map(Either::isRight)));
	}

}
