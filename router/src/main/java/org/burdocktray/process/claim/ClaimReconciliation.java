package org.burdocktray.process.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.reactivex.rxjava3.core.Single;
import io.vavr.control.Either;
import org.burdocktray.connection.platform.PlatformStore;
import org.burdocktray.connection.platform.StoreError;
import org.burdocktray.connection.platform.StoredObject;

/**
 * Lists and closes claims without an outcome, for operators. Invariant: a claim is closed
 * only while it has no outcome, by a conditional update. Closing a claim as not run is
 * safe only if the VM that created it no longer exists, since a paused VM may still
 * dispatch the call. Thread safety: can be called from any thread.
 */
public final class ClaimReconciliation {

	private static final int MAX_ATTEMPTS = 8;

	private static final int STATUS_OK = 200;

	private static final String NOTE_CONTENT_TYPE = "text/plain; charset=utf-8";

	private final PlatformStore store;

	private final ClaimParameters parameters;

	private final ClaimClock clock;

	/**
	 * Creates a reconciliation on a store.
	 * @param store the platform's store
	 * @param parameters the parameters, the same as those of the VMs
	 * @param clock the clock that determines the age of claims
	 */
	public ClaimReconciliation(PlatformStore store, ClaimParameters parameters, ClaimClock clock) {
		this.store = store;
		this.parameters = parameters;
		this.clock = clock;
	}

	/**
	 * Lists the claims with an unknown outcome, and those open for longer than
	 * {@link ClaimRetention#unknownAfterSeconds()}.
	 * @return the claims, or the error that prevented reading them all
	 */
	public Single<Either<ReconciliationError, List<UnresolvedClaim>>> list() {
		return this.store.list(StoreClaimRegistry.KEY_PREFIX)
			.map((result) -> result.mapLeft(ClaimReconciliation::toReadError).flatMap(this::findUnresolved));
	}

	/**
	 * Closes a claim.
	 * @param ticket the claim
	 * @param resolution the operator's resolution
	 * @return the closed claim, or the error
	 */
	public Single<Either<ReconciliationError, UnresolvedClaim>> close(ClaimTicket ticket, ClaimResolution resolution) {
		return tryClose(ticket, resolution, MAX_ATTEMPTS);
	}

	private Either<ReconciliationError, List<UnresolvedClaim>> findUnresolved(List<StoredObject> objects) {
		List<UnresolvedClaim> claims = new ArrayList<>();
		for (StoredObject object : objects) {
			Either<ReconciliationError, ClaimTable> table = decode(object);
			if (table.isLeft()) {
				return Either.left(table.getLeft());
			}
			table.get().entries().forEach((entry) -> findUnresolved(entry).ifPresent(claims::add));
		}
		return Either.right(claims);
	}

	private Optional<UnresolvedClaim> findUnresolved(ClaimEntry entry) {
		if (entry instanceof ClaimEntry.Unknown unknown) {
			return Optional.of(toUnresolvedClaim(unknown));
		}
		if (entry instanceof ClaimEntry.Claimed claimed && isOverdue(claimed)) {
			return Optional.of(toUnresolvedClaim(claimed.toUnknown()));
		}
		return Optional.empty();
	}

	private static UnresolvedClaim toUnresolvedClaim(ClaimEntry.Unknown entry) {
		return new UnresolvedClaim(new ClaimTicket(entry.organisation(), entry.idempotencyKey(), entry.claimId()),
				entry.vm(), entry.claimedAtSeconds());
	}

	private boolean isOverdue(ClaimEntry entry) {
		long ageSeconds = this.clock.now().epochSeconds() - entry.claimedAtSeconds();
		return ageSeconds > this.parameters.retention().unknownAfterSeconds();
	}

	private Single<Either<ReconciliationError, UnresolvedClaim>> tryClose(ClaimTicket ticket,
			ClaimResolution resolution, int attemptsLeft) {
		ClaimKey key = new ClaimKey(ticket.organisation(), ticket.idempotencyKey());
		String objectKey = StoreClaimRegistry.objectKey(key.shard(this.parameters.shardCount()));
		return this.store.read(objectKey).flatMap((result) -> {
			Either<ReconciliationError, Change> change = result.mapLeft(ClaimReconciliation::toReadError)
				.flatMap((object) -> prepareChange(object, ticket, resolution));
			if (change.isLeft()) {
				return Single.just(Either.left(change.getLeft()));
			}
			return writeChange(change.get(), ticket, resolution, attemptsLeft);
		});
	}

	private Either<ReconciliationError, Change> prepareChange(Optional<StoredObject> object, ClaimTicket ticket,
			ClaimResolution resolution) {
		if (object.isEmpty()) {
			return Either.left(ReconciliationError.NO_SUCH_CLAIM);
		}
		return decode(object.get()).flatMap((table) -> {
			Optional<UnresolvedClaim> claim = table.find(new ClaimKey(ticket.organisation(), ticket.idempotencyKey()))
				.flatMap(this::findUnresolved)
				.filter((unresolved) -> unresolved.ticket().equals(ticket));
			if (claim.isEmpty()) {
				return Either.left(ReconciliationError.NO_SUCH_CLAIM);
			}
			table.record(ticket, toOutcome(resolution), this.clock.now().epochSeconds());
			return Either.right(new Change(object.get(), table.encode(), claim.get()));
		});
	}

	private Single<Either<ReconciliationError, UnresolvedClaim>> writeChange(Change change, ClaimTicket ticket,
			ClaimResolution resolution, int attemptsLeft) {
		StoredObject current = change.read();
		return this.store.update(current.key(), current.version(), change.value()).flatMap((result) -> {
			if (result.isRight()) {
				return Single.just(Either.right(change.claim()));
			}
			if (result.getLeft() != StoreError.CONFLICT) {
				return Single.just(Either.left(toWriteError(result.getLeft())));
			}
			if (attemptsLeft == 1) {
				return Single.just(Either.left(ReconciliationError.CONTENDED));
			}
			return tryClose(ticket, resolution, attemptsLeft - 1);
		});
	}

	private Either<ReconciliationError, ClaimTable> decode(StoredObject object) {
		return ClaimTable.decode(this.parameters.retention(), object.value())
			.mapLeft((detail) -> ReconciliationError.UNREADABLE);
	}

	private static ClaimOutcome toOutcome(ClaimResolution resolution) {
		if (resolution instanceof ClaimResolution.Ran asRun) {
			return new ClaimOutcome.Completed(new RecordedResponse(STATUS_OK, NOTE_CONTENT_TYPE, asRun.note(), false));
		}
		return new ClaimOutcome.NotRun();
	}

	private static ReconciliationError toReadError(StoreError error) {
		return ReconciliationError.STORE_UNAVAILABLE;
	}

	private static ReconciliationError toWriteError(StoreError error) {
		return (error == StoreError.UNRESOLVED) ? ReconciliationError.UNRESOLVED
				: ReconciliationError.STORE_UNAVAILABLE;
	}

	/**
	 * A pending update of a shard's object.
	 *
	 * @param read the object that the update replaces
	 * @param value the new value
	 * @param claim the claim that the update closes
	 */
	private record Change(StoredObject read, String value, UnresolvedClaim claim) {

	}

}
