package org.burdocktray.bench.route;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

import org.burdocktray.model.DataCentre;
import org.burdocktray.process.load.UpstreamLoads;
import org.burdocktray.request.route.PipelineRoute;
import org.burdocktray.request.route.RouteQuery;
import org.burdocktray.request.route.RoutingPolicy;
import org.burdocktray.version.routing.RoutingSnapshot;

/**
 * An entry VM that chooses routes with its own policy and its local view of the load.
 * Thread safety: none.
 *
 * @param dataCentre the data centre of the VM
 * @param policy the routing policy of the VM
 * @param loads the local view of the load
 * @param random the source of randomness
 */
record EntryVm(DataCentre dataCentre, RoutingPolicy policy, UpstreamLoads loads, SplittableRandom random) {

	Optional<PipelineRoute> chooseRoute(String model, long prefixFingerprint, RoutingSnapshot snapshot) {
		RouteQuery query = new RouteQuery(model, this.dataCentre, prefixFingerprint, Set.of(), List.of());
		return this.policy.choose(query, snapshot, this.loads, this.random);
	}

}
