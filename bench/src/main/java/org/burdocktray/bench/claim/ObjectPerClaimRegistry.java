package org.burdocktray.bench.claim;

import io.reactivex.rxjava3.core.Single;
import org.burdocktray.connection.platform.PlatformStore;
import org.burdocktray.connection.platform.StoreRevision;
import org.burdocktray.model.Refusal;
import org.burdocktray.model.RefusalReason;
import org.burdocktray.process.claim.ClaimDecision;
import org.burdocktray.process.claim.ClaimRegistry;
import org.burdocktray.process.claim.ClaimRequest;
import org.burdocktray.process.claim.ClaimTicket;
import org.burdocktray.process.claim.RecordedResponse;

/**
 * The baseline: one object per claim, with one write for the claim and one for its
 * outcome. Handles no faults. Thread safety: stateless.
 */
final class ObjectPerClaimRegistry implements ClaimRegistry {

	private final PlatformStore store;

	ObjectPerClaimRegistry(PlatformStore store) {
		this.store = store;
	}

	@Override
	public Single<ClaimDecision> claim(ClaimRequest request) {
		return this.store.create(request.idempotencyKey(), "claimed")
			.map((result) -> result.<ClaimDecision>fold(
					(error) -> new ClaimDecision.Refused(Refusal.notRun(RefusalReason.KEY_IN_PROGRESS, "")),
					(object) -> new ClaimDecision.Granted(new ClaimTicket(request.organisation(),
							request.idempotencyKey(), Long.toString(object.version().number())))));
	}

	@Override
	public Single<Boolean> recordNotRun(ClaimTicket ticket) {
		return replace(ticket, "free");
	}

	@Override
	public Single<Boolean> recordResponse(ClaimTicket ticket, RecordedResponse response) {
		return replace(ticket, response.body());
	}

	@Override
	public Single<Boolean> recordUnknown(ClaimTicket ticket) {
		return replace(ticket, "unknown");
	}

	private Single<Boolean> replace(ClaimTicket ticket, String value) {
		return this.store.update(ticket.idempotencyKey(), StoreRevision.of(Long.parseLong(ticket.claimId())), value)
			.map((result) -> result.isRight());
	}

}
