package org.burdocktray.process.serve;

import org.burdocktray.version.bundle.Bundle;
import org.burdocktray.version.bundle.Organisation;
import org.burdocktray.version.routing.RoutingSnapshot;

/**
 * Context of a request whose caller is authenticated. Thread safety: immutable.
 *
 * @param requestId the unique id of the request
 * @param organisation the organisation of the caller
 * @param snapshot the bundle version that the request uses until it ends
 * @param startNanos the time of receipt, from {@link System#nanoTime()}
 */
record RequestScope(String requestId, Organisation organisation, RoutingSnapshot snapshot, long startNanos) {

	Bundle bundle() {
		return this.snapshot.bundle();
	}

}
