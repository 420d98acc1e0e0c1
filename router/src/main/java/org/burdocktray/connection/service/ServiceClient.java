package org.burdocktray.connection.service;

import io.reactivex.rxjava3.core.Single;
import io.vavr.control.Either;
import org.burdocktray.model.NetworkAddress;

/**
 * A client of plain services. Thread safety: implementations can be called from any
 * thread.
 */
public interface ServiceClient {

	/**
	 * Calls a service once, without retries.
	 * @param address the address of the upstream
	 * @param call the call
	 * @return the complete response, or the failure
	 */
	Single<Either<ServiceFailure, ServiceResponse>> call(NetworkAddress address, ServiceCall call);

}
