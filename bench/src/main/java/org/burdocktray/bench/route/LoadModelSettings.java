package org.burdocktray.bench.route;

import java.util.function.Supplier;

import org.burdocktray.request.route.RoutingPolicy;

/**
 * The settings of one run of the load model. Thread safety: immutable.
 *
 * @param policyFactory makes the policy of each deciding node
 * @param entryVmCount the number of deciding nodes
 * @param seed the seed of all random choices
 * @param warmUpSeconds virtual time before counting starts
 * @param measuredSeconds virtual time during which tokens are counted
 */
record LoadModelSettings(Supplier<RoutingPolicy> policyFactory, int entryVmCount, long seed, int warmUpSeconds,
		int measuredSeconds) {

}
