package org.burdocktray.connection.service;

import io.reactivex.rxjava3.core.Single;
import io.vavr.control.Either;
import org.burdocktray.model.NetworkAddress;

/**
 * Talks to plain services. Thread safety: implementations can be called from any thread.
 */
public interface ServiceClient {

	/**
	 * Calls a service once. Never repeats a call by itself.
	 * @param address the upstream
	 * @param call the call
	 * @return the whole answer, or why there is none
	 */
	Single<Either<ServiceFailure, ServiceResponse>> call(NetworkAddress address, ServiceCall call);

}
