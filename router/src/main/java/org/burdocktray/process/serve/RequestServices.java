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
import org.burdocktray.process.quarantine.RequestIdentity;
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
 * Process-wide services used to handle requests. Thread safety: immutable; each component
 * is safe for use by multiple threads.
 *
 * @param dataCentre the data centre of this VM
 * @param engines the client for engines
 * @param serviceClient the client for plain services
 * @param claims grants claims on idempotency keys
 * @param admission admits, queues or rejects requests
 * @param routing chooses the engines of a request
 * @param replicas chooses replicas of plain services
 * @param loads counts the requests in progress at upstreams
 * @param upstreams the local view of the load and state of the upstreams
 * @param quarantine detects requests that crash upstreams
 * @param retryBudgets limits retries
 * @param vmCount the number of VMs the fleet is planned for
 * @param propagateChanges sends local changes to the other VMs immediately
 * @param leavingListener receives the name of each upstream that refuses work because it
 * is leaving
 * @param monitor records successes and failures of upstreams
 * @param metrics the metrics of the process
 */
record RequestServices(DataCentre dataCentre, EngineClient engines, ServiceClient serviceClient, ClaimRegistry claims,
		AdmissionControl admission, RoutingPolicy routing, ReplicaSelector replicas, UpstreamLoads loads,
		UpstreamView upstreams, Quarantine quarantine, RetryBudgets retryBudgets, int vmCount,
		Runnable propagateChanges, Consumer<String> leavingListener, UpstreamMonitor monitor, RouterMetrics metrics) {

	Optional<PipelineRoute> chooseRoute(RouteQuery query, RoutingSnapshot snapshot) {
		return this.routing.choose(query, snapshot, this.upstreams, ThreadLocalRandom.current());
	}

	Optional<Service.Replica> chooseReplica(Service service, Set<String> excludedUpstreams) {
		return this.replicas.choose(service, this.dataCentre, excludedUpstreams, this.upstreams,
				ThreadLocalRandom.current());
	}

	CrashGuard crashGuard(RequestScope scope, String model, byte[] body, List<String> messages) {
		Fingerprint fingerprint = new Fingerprint(scope.organisation().name(), RequestDigest.of(body));
		RetryGuard budget = new BudgetedRetryGuard(this.retryBudgets, retryParameters(scope),
				scope.organisation().name(), model, System::nanoTime);
		return new CrashGuard(this.quarantine, RequestIdentity.of(fingerprint, messages), budget,
				this.propagateChanges);
	}

	RetryBudgetParameters retryParameters(RequestScope scope) {
		return RetryBudgetParameters.of(scope.bundle().limits().retryBudgetRatio(), 1.0 / this.vmCount);
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
