package org.burdocktray.connection.platform;

import java.util.List;

import io.reactivex.rxjava3.core.Single;
import io.vavr.control.Either;

/**
 * The platform's list of live and leaving VMs. Thread safety: implementations can be
 * called from any thread.
 */
@FunctionalInterface
public interface PlatformVms {

	/**
	 * Reads the list.
	 * @return the VMs, or the error; never an error signal
	 */
	Single<Either<StoreError, List<PlatformVm>>> listVms();

}
