package org.burdocktray.process.serve.gateway;

import java.util.Optional;
import java.util.random.RandomGenerator;

import io.vertx.core.Vertx;
import org.burdocktray.model.DataCentre;
import org.burdocktray.process.balance.FleetRoutes;
import org.burdocktray.process.balance.ReplicaTimes;
import org.burdocktray.process.demand.DemandMeter;
import org.burdocktray.process.directory.ReplicaContacts;
import org.burdocktray.process.directory.ReplicaDirectory;
import org.burdocktray.process.directory.ReplicaLoads;
import org.burdocktray.process.directory.StreamOutputs;
import org.burdocktray.process.freshness.RulesFreshness;
import org.burdocktray.process.limits.FleetRetryBudget;
import org.burdocktray.process.pressure.VmPressure;
import org.burdocktray.request.hedge.HedgePolicy;
import org.burdocktray.request.overload.OverloadControl;
import org.burdocktray.request.path.FlowPathChoice;
import org.burdocktray.request.path.LoadSpread;
import org.burdocktray.request.path.PathSearch;
import org.burdocktray.version.rules.RulesGate;

/**
 * The services that all requests of a process share. Thread safety: that of its
 * components, which are used on one event loop.
 *
 * @param vertx runs the event loop
 * @param eventLoopDelay knows how late the event loop is
 * @param localDataCentre the data centre of this VM
 * @param headers reads and writes the platform's headers
 * @param rules holds the rules in force
 * @param freshness bounds the age of the rules
 * @param directory the replicas
 * @param loads the load and health of the replicas
 * @param outputs the streams in progress, by which silent engines are noticed
 * @param contacts when this VM has last heard from each replica
 * @param reach knows whether this VM reaches replicas
 * @param relays the VMs that relay requests while it does not
 * @param relayKey the key by which VMs know each other's requests
 * @param limits the limits that replicas name
 * @param monitor requests load reports from engines
 * @param engineControl sends orders to engines
 * @param connections the connections to replicas
 * @param pathSearch finds layer paths over engines
 * @param loadSpread turns requests to other engines before the best ones are full
 * @param routes the shares of data centres and paths, if balancing is on
 * @param replicaTimes the response times of plain replicas
 * @param flowPaths chooses paths by the flow that engines can serve, if balancing is on
 * @param retryBudget limits retries
 * @param demand measures the requests that arrive, if a feature needs it
 * @param hedging decides on second runs of late requests, if that feature is on
 * @param overload sheds load by priority, if the feature is on
 * @param pressure hands requests under pressure to VMs of at least its size, if the
 * feature is on
 * @param crashes finds out which requests crash replicas
 * @param random the source of randomness
 * @param metrics the metrics of the process
 */
record GatewayContext(Vertx vertx, EventLoopDelay eventLoopDelay, DataCentre localDataCentre, HeaderCodec headers,
		RulesGate rules, RulesFreshness freshness, ReplicaDirectory directory, ReplicaLoads loads,
		StreamOutputs outputs, ReplicaContacts contacts, ReachMonitor reach, RelayVms relays, RelayKey relayKey,
		LimitedReplicas limits, EngineMonitor monitor, EngineControl engineControl, ReplicaConnections connections,
		PathSearch pathSearch, LoadSpread loadSpread, Optional<FleetRoutes> routes, ReplicaTimes replicaTimes,
		Optional<FlowPathChoice> flowPaths, FleetRetryBudget retryBudget, Optional<DemandMeter> demand,
		Optional<HedgePolicy> hedging, Optional<OverloadControl> overload, Optional<VmPressure> pressure,
		CrashDetector crashes, RandomGenerator random, GatewayMetrics metrics) {

}
