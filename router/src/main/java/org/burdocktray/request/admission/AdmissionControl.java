package org.burdocktray.request.admission;

import io.reactivex.rxjava3.core.Single;
import io.vavr.control.Either;
import org.burdocktray.model.Refusal;

/**
 * Decides whether requests are taken on. Thread safety: implementations can be called
 * from any thread.
 */
@FunctionalInterface
public interface AdmissionControl {

	/**
	 * Asks for a place. The answer comes at once or, where a place is expected in time,
	 * after a short wait; a refusal is never held back.
	 * @param request who asks for what
	 * @return the place or the final refusal; never an error signal
	 */
	Single<Either<Refusal, AdmissionPermit>> admit(AdmissionRequest request);

	/**
	 * A control that takes on everything.
	 * @return the control
	 */
	static AdmissionControl admitAll() {
		return (request) -> Single.just(Either.right((generatedTokens) -> {
		}));
	}

}
