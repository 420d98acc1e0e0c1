package org.burdocktray.connection.platform;

import java.util.List;

import io.reactivex.rxjava3.core.Single;
import io.vavr.control.Either;

/**
 * Access to the platform's list of running and leaving VMs. Thread safety:
 * implementations can be called from any thread.
 */
@FunctionalInterface
public interface PlatformVms {

	/**
	 * Reads the list.
	 * @return the VMs, or the error; never terminates with an error signal
	 */
	Single<Either<StoreError, List<PlatformVm>>> listVms();

}
