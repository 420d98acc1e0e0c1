package org.burdocktray.bench.route;

import java.util.function.Supplier;

import org.burdocktray.request.route.RoutingPolicy;

/**
 * The settings of one run of the load model. Thread safety: immutable.
 *
 * @param policyFactory creates the routing policy of each entry VM
 * @param entryVmCount the number of entry VMs
 * @param seed the seed of the random generator
 * @param warmUpSeconds the virtual time before tokens are counted
 * @param measuredSeconds the virtual time during which tokens are counted
 */
record LoadModelSettings(Supplier<RoutingPolicy> policyFactory, int entryVmCount, long seed, int warmUpSeconds,
		int measuredSeconds) {

}
