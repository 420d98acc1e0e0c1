package org.burdocktray.process.pressure;

import org.burdocktray.model.NetworkAddress;

/**
 * What becomes of a new request. Thread safety: immutable.
 */
public sealed interface Placement {

	/** This VM serves the request. */
	record Here() implements Placement {

	}

	/**
	 * Another VM serves the request.
	 *
	 * @param vm the address of the VM
	 */
	record AtVm(NetworkAddress vm) implements Placement {

	}

	/** The request is rejected as not run. */
	record Rejected() implements Placement {

	}

}
