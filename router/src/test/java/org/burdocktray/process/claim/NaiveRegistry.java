package org.burdocktray.process.claim;

import io.reactivex.rxjava3.core.Single;

/**
 * A baseline without claims: each request is granted.
 */
final class NaiveRegistry implements ClaimRegistry {

	@Override
	public Single<ClaimDecision> claim(ClaimRequest request) {
		return Single
			.just(new ClaimDecision.Granted(new ClaimTicket(request.organisation(), request.idempotencyKey(), "")));
	}

	@Override
	public Single<Boolean> recordNotRun(ClaimTicket ticket) {
		return Single.just(true);
	}

	@Override
	public Single<Boolean> recordResponse(ClaimTicket ticket, RecordedResponse response) {
		return Single.just(true);
	}

	@Override
	public Single<Boolean> recordUnknown(ClaimTicket ticket) {
		return Single.just(true);
	}

}
