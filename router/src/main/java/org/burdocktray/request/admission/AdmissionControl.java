package org.burdocktray.request.admission;

import io.reactivex.rxjava3.core.Single;
import io.vavr.control.Either;
import org.burdocktray.model.Refusal;

/**
 * Admits or refuses requests. Thread safety: implementations can be called from any
 * thread.
 */
@FunctionalInterface
public interface AdmissionControl {

	/**
	 * Requests an admission slot. The decision is immediate, or, if a slot is expected to
	 * become free in time, follows after a short wait. A refusal is sent as soon as it is
	 * decided.
	 * @param request the request
	 * @return the slot or the final refusal; never signals an error
	 */
	Single<Either<Refusal, AdmissionPermit>> admit(AdmissionRequest request);

	/**
	 * Creates a control that admits every request.
	 * @return the control
	 */
	static AdmissionControl admitAll() {
		return (request) -> Single.just(Either.right((generatedTokens) -> {
		}));
	}

}
