package org.burdocktray.request.route;

import java.util.Set;

import org.burdocktray.process.load.LoadView;
import org.burdocktray.process.load.UpstreamStatus;
import org.burdocktray.version.bundle.Engine;

/**
 * Decides which upstreams a request may use. Thread safety: that of its load view.
 *
 * @param excludedUpstreams the names of the upstreams that must not be used
 * @param loads the status of the upstreams in this VM's local view
 */
record Eligibility(Set<String> excludedUpstreams, LoadView loads) {

	boolean allows(Engine engine) {
		return allows(engine.name(), this.loads.status(engine.name()));
	}

	boolean allows(String upstreamName, UpstreamStatus status) {
		return status.acceptsNewWork() && !this.excludedUpstreams.contains(upstreamName);
	}

}
