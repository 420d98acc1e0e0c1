package org.burdocktray.process.serve;

import org.burdocktray.request.auth.Authenticator;
import org.burdocktray.version.routing.RoutingSnapshot;

/**
 * The bundle version that a request pins on receipt and uses until it ends. Thread
 * safety: immutable.
 *
 * @param snapshot the routing data of the version
 * @param authenticator maps API keys to the organisations of the version
 */
record PinnedVersion(RoutingSnapshot snapshot, Authenticator authenticator) {

	static PinnedVersion of(RoutingSnapshot snapshot) {
		return new PinnedVersion(snapshot, new Authenticator(snapshot.bundle()));
	}

}
