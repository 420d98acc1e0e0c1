package org.burdocktray.process.serve;

import java.security.SecureRandom;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.schedulers.Schedulers;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.burdocktray.connection.caller.ClientLimits;
import org.burdocktray.connection.caller.ClientMemory;
import org.burdocktray.connection.caller.LimitedTransport;
import org.burdocktray.connection.engine.HttpEngineClient;
import org.burdocktray.connection.engine.HttpEngineOrderClient;
import org.burdocktray.connection.http.CheckedHttpClients;
import org.burdocktray.connection.platform.HttpPlatformStore;
import org.burdocktray.connection.platform.PlatformStore;
import org.burdocktray.connection.service.HttpServiceClient;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.model.Vm;
import org.burdocktray.process.bundle.BundleFollower;
import org.burdocktray.process.bundle.BundleLoop;
import org.burdocktray.process.bundle.FollowerSettings;
import org.burdocktray.process.claim.ClaimClock;
import org.burdocktray.process.claim.ClaimParameters;
import org.burdocktray.process.claim.ForwardedClaimHandler;
import org.burdocktray.process.claim.PeerClaimForwarder;
import org.burdocktray.process.claim.StoreClaimRegistry;
import org.burdocktray.process.limits.AdmissionParameters;
import org.burdocktray.process.limits.RetryBudgetParameters;
import org.burdocktray.process.limits.RetryBudgets;
import org.burdocktray.process.limits.VmIndex;
import org.burdocktray.process.load.UpstreamDrain;
import org.burdocktray.process.load.UpstreamLoads;
import org.burdocktray.process.load.UpstreamView;
import org.burdocktray.process.metrics.RouterMetrics;
import org.burdocktray.process.order.OrderLoop;
import org.burdocktray.process.order.OrderSettings;
import org.burdocktray.process.quarantine.Quarantine;
import org.burdocktray.process.quarantine.QuarantineSettings;
import org.burdocktray.process.quarantine.QuarantineStore;
import org.burdocktray.process.settings.Settings;
import org.burdocktray.request.admission.AdmissionControl;
import org.burdocktray.request.admission.FairShareAdmissionControl;
import org.burdocktray.request.admission.SlotExchange;
import org.burdocktray.request.route.MaxFlowRouting;
import org.burdocktray.request.route.ReplicaSelector;
import org.burdocktray.version.bundle.Limits;
import org.burdocktray.version.gate.BundleGate;
import org.burdocktray.version.routing.RoutingSnapshot;
import org.burdocktray.version.signing.BundleVerifier;
import org.jboss.logging.Logger;

/**
 * Router process: wires all layers, starts them and stops them. Thread safety:
 * {@link #start} and {@link #stop} must be called once each, by one thread; all other
 * methods are safe for use by multiple threads.
 */
public final class RouterServer {

	private static final Logger LOGGER = Logger.getLogger(RouterServer.class);

	private static final long CONNECT_TIMEOUT_MILLIS = 500;

	private static final int MAX_CONNECTIONS_PER_UPSTREAM = 4096;

	private static final long QUARANTINE_SAVE_INTERVAL_MILLIS = 500;

	private static final long MEMBER_UPDATE_INTERVAL_MILLIS = 1000;

	private static final long REFRESH_INTERVAL_MILLIS = 100;

	private static final double MAX_FLEET_ORDERS_PER_SECOND = 1;

	private static final double DEFAULT_RETRY_BUDGET_RATIO = 0.1;

	private static final long DEFAULT_DRAIN_TIMEOUT_MILLIS = 120_000;

	private static final long REFUSAL_GRACE_PERIOD_MILLIS = 250;

	private static final int MAX_HEADER_BYTES = 64 * 1024;

	private static final int MAX_ADMIN_CONNECTIONS = 64;

	private static final long DEFAULT_READ_TIMEOUT_MILLIS = 10_000;

	/** Longer than any caller reuses a connection. */
	private static final long IDLE_TIMEOUT_MILLIS = 300_000;

	private final RouterMetrics metrics = new RouterMetrics(System.currentTimeMillis());

	private final Settings settings;

	private final LimitedTransport transport = new LimitedTransport();

	private final Vertx vertx;

	private final BundleGate gate = new BundleGate();

	private final UpstreamLoads loads = new UpstreamLoads(System::nanoTime);

	private final UpstreamDrain drain = new UpstreamDrain();

	private final UpstreamView upstreams = new UpstreamView(this.loads, this.drain);

	private final CurrentVersion currentVersion = new CurrentVersion(this.gate, this.upstreams::outOfService);

	private final Quarantine quarantine;

	private final PeerNetwork peers;

	private final RequestsInProgress inProgress = new RequestsInProgress();

	private final HttpPlatformStore store;

	private final BundleLoop bundles;

	private final CompositeDisposable background = new CompositeDisposable();

	/**
	 * Creates a router without listening yet.
	 * @param settings the validated settings
	 */
	public RouterServer(Settings settings) {
		this.settings = settings;
		this.vertx = this.transport.createVertx(new VertxOptions().setPreferNativeTransport(false));
		long incarnation = System.currentTimeMillis();
		this.quarantine = new Quarantine(QuarantineSettings.defaults(), settings.vmName() + "-" + incarnation);
		this.peers = new PeerNetwork(settings, incarnation, List.of(this.drain, this.quarantine),
				this.gate::currentVersion, this::onHigherVersion);
		this.store = new HttpPlatformStore(createHttpClient(), settings.platformAddress(),
				settings.platformCallTimeoutMillis());
		this.bundles = createBundleLoop();
	}

	/**
	 * Starts the router.
	 * @return a future that completes when all addresses are bound
	 */
	public Future<Void> start() {
		HttpClient upstreamHttp = createHttpClient();
		HttpEngineClient engines = new HttpEngineClient(upstreamHttp, CONNECT_TIMEOUT_MILLIS);
		UpstreamMonitor monitor = new UpstreamMonitor(this.vertx, engines, this.loads, this::onLeavingReport);
		StoreClaimRegistry claims = createClaimRegistry(this.store);
		RequestServices services = new RequestServices(this.settings.dataCentre(), engines,
				new HttpServiceClient(upstreamHttp, CONNECT_TIMEOUT_MILLIS), claims, createAdmissionControl(),
				new MaxFlowRouting(), new ReplicaSelector(), this.loads, this.upstreams, this.quarantine,
				new RetryBudgets(retryParameters(DEFAULT_RETRY_BUDGET_RATIO), System.nanoTime()),
				this.settings.vmCount(), this::propagateChanges, this::onLeavingRefusal, monitor, this.metrics);
		subscribeToGate(monitor, createOrderLoop(upstreamHttp));
		startPeers(claims);
		startBackground(monitor);
		return listen(services);
	}

	private Future<Void> listen(RequestServices services) {
		CallerApi callers = new CallerApi(this.vertx, this.currentVersion, services, this.inProgress,
				requestIdPrefix());
		AdminApi admin = new AdminApi(this.metrics, callers::isReady, this::status);
		ClientMemory memory = ClientMemory.ofHeap(this.settings.clients().memory());
		HttpListeners listeners = new HttpListeners(this.vertx, this.transport, memory,
				this.metrics::recordRefusedClient);
		int maxCallers = Math.min(memory.maxConnections(),
				this.settings.clients().maxConnections(ProcessLimits.maxDescriptors()));
		HttpListeners.Endpoint adminEndpoint = new HttpListeners.Endpoint("admin", this.settings.adminAddress(), 1,
				true, MAX_ADMIN_CONNECTIONS, this::clientLimits);
		HttpListeners.Endpoint callerEndpoint = new HttpListeners.Endpoint("callers", this.settings.callerAddress(),
				HttpListeners.eventLoops(), false, maxCallers, this::clientLimits);
		return listeners.listen(adminEndpoint, admin::handle)
			.compose((done) -> listeners.listen(callerEndpoint, callers::handle))
			.onSuccess((done) -> LOGGER.infof("Router started: vm=%s callers=%s admin=%s", this.settings.vmName(),
					this.settings.callerAddress(), this.settings.adminAddress()));
	}

	// CallerApi enforces the limit of the bundle on headers, with its own answer.
	private ClientLimits clientLimits() {
		long readTimeoutMillis = this.gate.current()
			.map((snapshot) -> snapshot.bundle().limits().requestReadTimeoutMillis())
			.orElse(DEFAULT_READ_TIMEOUT_MILLIS);
		return new ClientLimits(MAX_HEADER_BYTES, readTimeoutMillis, IDLE_TIMEOUT_MILLIS,
				this.settings.clients().writeTimeoutMillis());
	}

	private void subscribeToGate(UpstreamMonitor monitor, OrderLoop orders) {
		this.background.add(this.gate.changes().subscribe((snapshot) -> {
			this.metrics.setBundleVersion(snapshot.bundle().version());
			monitor.applyBundle(snapshot.bundle());
			orders.applyBundle(snapshot.bundle());
		}));
	}

	private void startBackground(UpstreamMonitor monitor) {
		this.bundles.start();
		startQuarantinePersistence();
		PlatformVmPoller vmPoller = new PlatformVmPoller(this.store, this.peers.membership(), this.drain,
				() -> this.gate.current().map(RoutingSnapshot::upstreamNames).orElse(Set.of()));
		schedulePeriodic(UpstreamMonitor.POLL_INTERVAL_MILLIS, monitor::poll);
		schedulePeriodic(PlatformVmPoller.CHECK_INTERVAL_MILLIS, vmPoller::pollIfDue);
		schedulePeriodic(REFRESH_INTERVAL_MILLIS, this.currentVersion::refresh);
		schedulePeriodic(MEMBER_UPDATE_INTERVAL_MILLIS, () -> this.bundles.onMembersChanged(this.peers.aliveVms()));
	}

	private void propagateChanges() {
		this.peers.membership().submit((nowNanos) -> {
		});
	}

	private OrderLoop createOrderLoop(HttpClient upstreamHttp) {
		String holder = this.settings.vmName() + "-" + System.currentTimeMillis();
		OrderLoop orders = new OrderLoop(holder, this.store, new HttpEngineOrderClient(upstreamHttp),
				OrderSettings.defaults(), MAX_FLEET_ORDERS_PER_SECOND / this.settings.vmCount(),
				new OrderCandidacy(this.settings.vmName(), this.peers::aliveVms), Schedulers.computation(),
				System::nanoTime);
		this.background.add(orders);
		return orders;
	}

	private AdmissionControl createAdmissionControl() {
		VmIndex vmIndex = new VmIndex(this.settings.vmIndex(), this.settings.vmCount(), true,
				TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis()));
		FleetCapacity capacity = new FleetCapacity(this.currentVersion);
		FairShareAdmissionControl control = new FairShareAdmissionControl(AdmissionParameters.defaults(),
				capacity::forModel, vmIndex, SlotExchange.none(), System::nanoTime);
		this.background.add(control.start(Schedulers.computation()));
		return control;
	}

	private RetryBudgetParameters retryParameters(double ratio) {
		return RetryBudgetParameters.of(ratio, 1.0 / this.settings.vmCount());
	}

	private void startPeers(StoreClaimRegistry claims) {
		ForwardedClaimHandler forwarded = new ForwardedClaimHandler(claims, ClaimParameters.standard().shardCount());
		this.peers.start(
				(request, reply) -> forwarded.handle(request.getClaimBatch(), request.getSenderVm())
					.map((response) -> reply.setClaimBatchReply(response).build()),
				(request, reply) -> Single.just(reply.setBundleReply(this.bundles.replyTo(request)).build()));
	}

	private void onHigherVersion(NetworkAddress peer, long version) {
		this.bundles.onPeerVersion(peer, version);
	}

	private void onLeavingRefusal(String upstreamName) {
		this.peers.membership().submit((nowNanos) -> this.drain.onLeavingRefusal(upstreamName, nowNanos));
	}

	private void onLeavingReport(String upstreamName, boolean leaving, long requestedAtNanos) {
		this.peers.membership()
			.submit((nowNanos) -> this.drain.onLoadReport(upstreamName, leaving, requestedAtNanos, nowNanos));
	}

	private BundleLoop createBundleLoop() {
		Vm self = new Vm(this.settings.vmName(), this.settings.dataCentre(), this.settings.peerAddress());
		BundleVerifier verifier = new BundleVerifier(this.settings.trustedOperators());
		BundleFollower follower = new BundleFollower(self, this.settings.seedPeers(), verifier::verify,
				FollowerSettings.DEFAULT, new SecureRandom());
		return new BundleLoop(follower, this.store, this.peers.requester(), this.peers::newEnvelope, this.gate,
				Schedulers.computation(), System::nanoTime);
	}

	private void startQuarantinePersistence() {
		QuarantineStore quarantineStore = new QuarantineStore(this.quarantine, QuarantineStore.ValueFormat.plainText(),
				this.store, System::nanoTime, System::currentTimeMillis);
		this.background.add(quarantineStore.load().subscribe());
		schedulePeriodic(QUARANTINE_SAVE_INTERVAL_MILLIS,
				() -> quarantineStore.save(quarantineStore.takeEntries()).subscribe());
	}

	private void schedulePeriodic(long intervalMillis, Runnable action) {
		long timer = this.vertx.setPeriodic(intervalMillis, (id) -> action.run());
		this.background.add(Disposable.fromRunnable(() -> this.vertx.cancelTimer(timer)));
	}

	private StoreClaimRegistry createClaimRegistry(PlatformStore store) {
		ClaimParameters parameters = ClaimParameters.standard();
		PeerClaimForwarder forwarder = new PeerClaimForwarder(this.settings.vmName(), this.peers::aliveVms,
				this.peers.requester(), this.peers::newEnvelope, parameters.forwardTimeoutMillis());
		return new StoreClaimRegistry(this.settings.vmName(), store, forwarder, parameters, Schedulers.computation(),
				ClaimClock.system(), new SecureRandom());
	}

	private HttpClient createHttpClient() {
		return CheckedHttpClients.create(this.vertx, new HttpClientOptions(), MAX_CONNECTIONS_PER_UPSTREAM);
	}

	/**
	 * Stops the router: rejects new requests, waits up to the drain timeout of the bundle
	 * until the responses to those in progress are written, then closes all connections.
	 * A grace period before that lets the last refusals be written.
	 * @return a future that completes when everything is closed
	 */
	public Future<Void> stop() {
		this.inProgress.close();
		this.peers.membership().leave();
		LOGGER.infof("Router is shutting down: requestsInProgress=%d", this.inProgress.count());
		long drainTimeoutMillis = this.gate.current()
			.map((snapshot) -> snapshot.bundle().limits())
			.map(Limits::drainTimeoutMillis)
			.orElse(DEFAULT_DRAIN_TIMEOUT_MILLIS);
		Promise<Void> drained = Promise.promise();
		this.background.add(this.inProgress.drained()
			.timeout(drainTimeoutMillis, TimeUnit.MILLISECONDS)
			.onErrorComplete()
			.delay(REFUSAL_GRACE_PERIOD_MILLIS, TimeUnit.MILLISECONDS)
			.subscribe(drained::tryComplete));
		return drained.future().compose((done) -> {
			this.background.dispose();
			this.bundles.stop();
			this.peers.stop();
			return this.vertx.close();
		});
	}

	BundleGate gate() {
		return this.gate;
	}

	Quarantine quarantine() {
		return this.quarantine;
	}

	int aliveVms() {
		return this.peers.aliveVms().size();
	}

	long requestsInProgress() {
		return this.inProgress.count();
	}

	boolean isLeaving(String upstreamName) {
		return this.drain.isLeaving(upstreamName);
	}

	CurrentVersion currentVersion() {
		return this.currentVersion;
	}

	private JsonObject status() {
		return new JsonObject().put("vm", this.settings.vmName())
			.put("dataCentre", this.settings.dataCentre().name())
			.put("bundleVersion", this.gate.currentVersion())
			.put("aliveVms", aliveVms())
			.put("upstreamsOutOfService", new JsonArray(List.copyOf(this.upstreams.outOfService())))
			.put("refusedBundles", this.bundles.refusedCount())
			.put("requestsInProgress", this.inProgress.count())
			.put("shuttingDown", this.inProgress.isClosed());
	}

	private String requestIdPrefix() {
		return this.settings.vmName() + "-" + Long.toString(System.currentTimeMillis(), Character.MAX_RADIX) + "-";
	}

}
