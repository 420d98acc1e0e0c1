package org.burdocktray.process.serve;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;

import org.burdocktray.connection.engine.EngineClient;
import org.burdocktray.connection.service.ServiceClient;
import org.burdocktray.model.DataCentre;
import org.burdocktray.process.claim.ClaimRegistry;
import org.burdocktray.process.limits.RetryBudgetParameters;
import org.burdocktray.process.limits.RetryBudgets;
import org.burdocktray.process.load.InFlight;
import org.burdocktray.process.load.UpstreamLoads;
import org.burdocktray.process.load.UpstreamView;
import org.burdocktray.process.metrics.RouterMetrics;
import org.burdocktray.process.quarantine.Fingerprint;
import org.burdocktray.process.quarantine.Quarantine;
import org.burdocktray.request.admission.AdmissionControl;
import org.burdocktray.request.route.PipelineRoute;
import org.burdocktray.request.route.ReplicaSelector;
import org.burdocktray.request.route.RouteQuery;
import org.burdocktray.request.route.RoutingPolicy;
import org.burdocktray.request.service.RequestDigest;
import org.burdocktray.request.stream.BudgetedRetryGuard;
import org.burdocktray.request.stream.RetryGuard;
import org.burdocktray.version.bundle.Engine;
import org.burdocktray.version.bundle.Service;
import org.burdocktray.version.routing.RoutingSnapshot;

/**
 * What lives as long as the process and serves every request. Thread safety: immutable;
 * each component is safe from any thread.
 *
 * @param dataCentre the data centre of this VM
 * @param engines talks to engines
 * @param serviceClient talks to plain services
 * @param claims grants claims on idempotency keys
 * @param admission decides whether requests are taken on
 * @param routing chooses engines
 * @param replicas chooses replicas of plain services
 * @param loads counts the requests in progress at upstreams
 * @param upstreams what is known of the upstreams
 * @param quarantine finds requests that crash upstreams
 * @param retryBudgets bounds retries
 * @param fleetSize the number of VMs the fleet is planned for
 * @param propagateChanges tells the other VMs of changes at once
 * @param leavingListener told of upstreams that refuse because they are leaving
 * @param monitor hears of successes and failures
 * @param metrics the metrics
 */
record RequestServices(DataCentre dataCentre, EngineClient engines, ServiceClient serviceClient, ClaimRegistry claims,
		AdmissionControl admission, RoutingPolicy routing, ReplicaSelector replicas, UpstreamLoads loads,
		UpstreamView upstreams, Quarantine quarantine, RetryBudgets retryBudgets, int fleetSize,
		Runnable propagateChanges, Consumer<String> leavingListener, UpstreamMonitor monitor, RouterMetrics metrics) {

	Optional<PipelineRoute> chooseRoute(RouteQuery query, RoutingSnapshot snapshot) {
		return this.routing.choose(query, snapshot, this.upstreams, ThreadLocalRandom.current());
	}

	Optional<Service.Replica> chooseReplica(Service service, Set<String> excludedUpstreams) {
		return this.replicas.choose(service, this.dataCentre, excludedUpstreams, this.upstreams,
				ThreadLocalRandom.current());
	}

	CrashGuard crashGuard(RequestScope scope, String model, byte[] body) {
		Fingerprint fingerprint = new Fingerprint(scope.organisation().name(), RequestDigest.of(body));
		RetryGuard budget = new BudgetedRetryGuard(this.retryBudgets, retryParameters(scope),
				scope.organisation().name(), model, System::nanoTime);
		return new CrashGuard(this.quarantine, fingerprint, budget, this.propagateChanges);
	}

	RetryBudgetParameters retryParameters(RequestScope scope) {
		return RetryBudgetParameters.of(scope.bundle().limits().retryBudgetRatio(), 1.0 / this.fleetSize);
	}

	Runnable acquire(List<Engine> stages) {
		List<InFlight> handles = stages.stream().map((stage) -> this.loads.acquire(stage.name())).toList();
		return () -> handles.forEach(InFlight::close);
	}

	void recordUpstreamFailure(String upstreamName) {
		this.metrics.recordUpstreamFailure(upstreamName);
		this.monitor.recordFailure(upstreamName);
	}

}
