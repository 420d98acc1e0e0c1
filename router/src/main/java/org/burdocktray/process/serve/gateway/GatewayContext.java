package org.burdocktray.process.serve.gateway;

import java.util.random.RandomGenerator;

import io.vertx.core.Vertx;
import org.burdocktray.model.DataCentre;
import org.burdocktray.process.directory.ReplicaDirectory;
import org.burdocktray.process.directory.ReplicaLoads;
import org.burdocktray.process.freshness.RulesFreshness;
import org.burdocktray.process.limits.FleetRetryBudget;
import org.burdocktray.request.path.PathSearch;
import org.burdocktray.version.rules.RulesGate;

/**
 * What all requests of a process share. Thread safety: that of its parts; used on one
 * event loop.
 *
 * @param vertx the event loop
 * @param localDataCentre the data centre of this VM
 * @param headers reads and writes the platform's headers
 * @param rules the rules in force
 * @param freshness the age of the rules
 * @param directory the replicas
 * @param loads the load and health of the replicas
 * @param monitor asks engines for their load
 * @param engineControl gives orders to engines
 * @param connections the connections to replicas
 * @param pathSearch finds paths over engines
 * @param retryBudget bounds repeats
 * @param random the source of random choices
 * @param metrics counts
 */
record GatewayContext(Vertx vertx, DataCentre localDataCentre, HeaderCodec headers, RulesGate rules,
		RulesFreshness freshness, ReplicaDirectory directory, ReplicaLoads loads, EngineMonitor monitor,
		EngineControl engineControl, ReplicaConnections connections, PathSearch pathSearch,
		FleetRetryBudget retryBudget, RandomGenerator random, GatewayMetrics metrics) {

}
