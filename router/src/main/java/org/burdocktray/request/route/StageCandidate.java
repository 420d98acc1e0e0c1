package org.burdocktray.request.route;

import org.burdocktray.process.load.UpstreamStatus;
import org.burdocktray.version.bundle.Engine;
import org.burdocktray.version.routing.RouteNode;

/**
 * An engine that may become a stage of a route. Thread safety: immutable.
 *
 * @param node the node of the route graph
 * @param engine the engine, one of the node's group
 * @param status the status of the engine in this VM's local view
 */
record StageCandidate(RouteNode node, Engine engine, UpstreamStatus status) {

	double flowTokensPerSecond() {
		return this.node.flowTokensPerSecond(this.engine);
	}

}
