package org.burdocktray.process.serve.gateway;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import io.vertx.core.http.HttpServerRequest;
import org.burdocktray.connection.caller.LimitedTransport;
import org.burdocktray.connection.http.MergedAnswer;
import org.burdocktray.connection.platform.StoredObject;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.process.balance.DataCentreLoad;
import org.burdocktray.process.balance.EnginePace;
import org.burdocktray.process.balance.FleetRoutes;
import org.burdocktray.process.balance.ReplicaTimes;
import org.burdocktray.process.demand.DemandExchange;
import org.burdocktray.process.demand.DemandMeter;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.process.directory.ReplicaContacts;
import org.burdocktray.process.directory.ReplicaDirectory;
import org.burdocktray.process.directory.ReplicaLoads;
import org.burdocktray.process.directory.ReportPollScheduler;
import org.burdocktray.process.directory.StreamOutputs;
import org.burdocktray.process.freshness.RulesFreshness;
import org.burdocktray.process.freshness.RulesFreshness.Timestamp;
import org.burdocktray.process.freshness.RulesPollInterval;
import org.burdocktray.process.limits.BodyMemory;
import org.burdocktray.process.limits.FleetRetryBudget;
import org.burdocktray.process.limits.RelayLimit;
import org.burdocktray.process.limits.ReplicaLimits;
import org.burdocktray.process.order.LeasePolling;
import org.burdocktray.process.overload.AdmissionThreshold;
import org.burdocktray.process.pressure.JvmResources;
import org.burdocktray.process.pressure.PressureState;
import org.burdocktray.process.pressure.ResourcePressure;
import org.burdocktray.process.pressure.VmPressure;
import org.burdocktray.process.quarantine.Quarantine;
import org.burdocktray.process.quarantine.QuarantineSettings;
import org.burdocktray.process.restore.StoreEras;
import org.burdocktray.process.serve.watch.WatchClient;
import org.burdocktray.process.serve.watch.WatchEndpoint;
import org.burdocktray.process.settings.GatewayOptions;
import org.burdocktray.process.settings.GatewayOptions.WatchOptions;
import org.burdocktray.process.watch.FollowerBounds;
import org.burdocktray.process.watch.RepeatingFeed;
import org.burdocktray.process.watch.StoreSharing;
import org.burdocktray.process.watch.WatchVm;
import org.burdocktray.process.watch.WatchWaits;
import org.burdocktray.process.watch.WatchedKind;
import org.burdocktray.request.hedge.HedgePolicy;
import org.burdocktray.request.hedge.KnownLoadCapacity;
import org.burdocktray.request.overload.Arrival;
import org.burdocktray.request.overload.OverloadControl;
import org.burdocktray.request.overload.OverloadListener;
import org.burdocktray.request.path.FlowPathChoice;
import org.burdocktray.request.path.LoadSpread;
import org.burdocktray.request.path.PathSearch;
import org.burdocktray.version.rules.RoutingRules;
import org.burdocktray.version.rules.RulesGate;
import org.jboss.logging.Logger;

/**
 * A gateway process. All its work runs on one event loop. Thread safety: {@link #start}
 * and {@link #stop} can be called from any thread.
 */
public final class GatewayServer {

	private static final Logger LOGGER = Logger.getLogger(GatewayServer.class);

	private static final long TICK_MILLIS = 50;

	private static final long LOAD_BROADCAST_MILLIS = 200;

	private static final long DEMAND_EXCHANGE_MILLIS = 100;

	private static final long OVERLOAD_UPDATE_MILLIS = 250;

	private static final long CONTACT_COUNT_MILLIS = 1_000;

	/**
	 * How long an entry of a replica may be missing after the store is available again.
	 */
	private static final long LAPSE_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_900);

	private static final long LOGGED_DELAY_NANOS = TimeUnit.SECONDS.toNanos(1);

	/** The share of the revocation time limit for which rules count as fresh. */
	private static final double RULES_MAX_AGE_SHARE = 0.88;

	private static final long RULES_BATCH_MILLIS = 250;

	/** The share of the drain time limit for which changes of replicas are batched. */
	private static final double REPLICAS_BATCH_SHARE = 0.25;

	/** Bounds the age of listings of VMs to about the interval of each VM. */
	private static final long VM_LISTING_WAIT_MILLIS = 7_000;

	private final GatewaySettings settings;

	private final GatewayOptions options;

	private final GatewayAdapter adapter;

	private final LimitedTransport transport = new LimitedTransport();

	private final Vertx vertx;

	private final RulesGate rules = new RulesGate();

	private final RulesFreshness freshness;

	private final RulesPollInterval rulesPollInterval;

	private final WatchWaits watchWaits;

	private final ReplicaDirectory directory = new ReplicaDirectory(LAPSE_GRACE_NANOS);

	private final GatewayMetrics metrics = new GatewayMetrics();

	private final RequestsInProgress requestsInProgress = new RequestsInProgress();

	private final StoreOutage storeOutage = new StoreOutage();

	private final StoreEras storeEras;

	private final Quarantine quarantine;

	private final EventLoopDelay eventLoopDelay = new EventLoopDelay(TimeUnit.MILLISECONDS.toNanos(TICK_MILLIS),
			System.nanoTime());

	private final GracefulStop gracefulStop;

	private final RelayKey relayKey;

	/** Lets few VMs watch the store; empty if each VM watches it. */
	private final Optional<StoreSharing> storeSharing;

	private volatile boolean closing;

	/** The snapshot of the directory from which {@link #lastUsableEngines} was made. */
	private Map<String, List<Replica>> lastUsable = Map.of();

	private List<Replica> lastUsableEngines = List.of();

	/**
	 * Creates a gateway without optional features that does not listen yet.
	 * @param settings its settings
	 * @param adapterFactory creates the adapter to the platform
	 */
	public GatewayServer(GatewaySettings settings, GatewayAdapter.Factory adapterFactory) {
		this(settings, GatewayOptions.NONE, adapterFactory);
	}

	/**
	 * Creates a gateway that does not listen yet.
	 * @param settings its settings
	 * @param options its optional features
	 * @param adapterFactory creates the adapter to the platform
	 */
	public GatewayServer(GatewaySettings settings, GatewayOptions options, GatewayAdapter.Factory adapterFactory) {
		this.settings = settings;
		this.options = options;
		this.freshness = new RulesFreshness((long) (RULES_MAX_AGE_SHARE * settings.bounds().revocationMillis()));
		this.quarantine = new Quarantine(QuarantineSettings.sharedThroughStore(),
				settings.vmName() + "-" + System.currentTimeMillis());
		this.rulesPollInterval = new RulesPollInterval(this.freshness, System.nanoTime());
		this.watchWaits = new WatchWaits(settings.bounds().contactMillis(), settings.bounds().drainMillis());
		this.vertx = this.transport.createVertx(new VertxOptions().setEventLoopPoolSize(1)
			.setWorkerPoolSize(1)
			.setInternalBlockingPoolSize(1)
			.setFileSystemOptions(
					new FileSystemOptions().setClassPathResolvingEnabled(false).setFileCachingEnabled(false)));
		GatewayAdapter counted = CountedStore.count(adapterFactory.create(this.vertx, settings), this.metrics);
		GatewayAdapter direct = counted.withFeeds(new RepeatingFeed(counted.feed()),
				new RepeatingFeed(counted.hintFeed()));
		this.storeEras = direct.eras();
		this.relayKey = new RelayKey(this.vertx, direct.store());
		this.storeSharing = options.watch().map((watch) -> shareStore(watch, direct));
		this.adapter = this.storeSharing.map((sharing) -> direct.withFeeds(sharing.feed(), sharing.hintFeed()))
			.orElse(direct);
		this.gracefulStop = new GracefulStop(this.vertx, settings, this.requestsInProgress, this::close);
	}

	/**
	 * Starts to listen and to watch the platform's store.
	 * @return completes when the gateway listens
	 */
	public Future<Void> start() {
		Promise<Void> started = Promise.promise();
		this.vertx.getOrCreateContext().runOnContext((now) -> startOnEventLoop().onComplete(started));
		return started.future();
	}

	private Future<Void> startOnEventLoop() {
		long nowNanos = System.nanoTime();
		ReplicaLoads loads = new ReplicaLoads();
		SplittableRandom random = new SplittableRandom(
				this.settings.vmName().hashCode() * 31L + System.currentTimeMillis());
		ReportPollScheduler pollScheduler = new ReportPollScheduler(this.settings.vmName(), this.settings.dataCentre());
		ReplicaLimits replicaLimits = new ReplicaLimits(this.settings.vmName());
		LimitedReplicas limits = new LimitedReplicas(replicaLimits, random);
		this.adapter.engineControl().setResponseListener(limits::recordResponse);
		EngineControl engineControl = new CountedEngineControl(this.adapter.engineControl(), limits);
		ReplicaContacts contacts = new ReplicaContacts();
		VmDatagrams datagrams = new VmDatagrams(this.vertx, this.settings.peerAddress());
		RelayVms relays = new RelayVms(datagrams, this.settings.dataCentre(), loads, random);
		LeavingReplicas leaving = new LeavingReplicas(this.vertx, this.directory, datagrams, this.metrics);
		limits.setListener(new LimitedReplicas.Listener() {
			@Override
			public void onPause() {
				GatewayServer.this.metrics.recordPause();
			}

			@Override
			public void onLeaving(Replica replica) {
				leaving.record(replica);
			}
		});
		ReachMonitor reach = new ReachMonitor(this.vertx, this.directory, loads, random, this.metrics);
		EngineMonitor monitor = new EngineMonitor(pollScheduler, engineControl, loads, limits, contacts, reach,
				this.metrics);
		GatewaySettings.Bounds bounds = this.settings.bounds();
		FleetRetryBudget retryBudget = new FleetRetryBudget(bounds.retryRatio(), bounds.retryExtra(),
				TimeUnit.MILLISECONDS.toNanos(bounds.retryWindowMillis()), nowNanos);
		ReplicaConnections connections = new ReplicaConnections(this.vertx, this.metrics,
				this.adapter.headers().requestIdHeader(), new ReplicaConnections.Listener() {
					@Override
					public void onConnected(NetworkAddress server) {
						if (!relays.contains(server)) {
							reach.recordConnected();
						}
					}

					@Override
					public void onForeignAnswer(ForeignAnswer answer) {
						recordForeignAnswer(answer);
					}

					@Override
					public void onMergedAnswer(MergedAnswer answer) {
						recordMergedAnswer(answer);
					}
				});
		ReplicaProbe probe = new ReplicaProbe(this.vertx, connections, this.adapter.headers(), limits);
		CrashDetector crashes = new CrashDetector(this.quarantine, probe,
				new SilenceWatch(this.vertx, probe, System::nanoTime), new RefusedReplicas(this.vertx), reach,
				this.metrics);
		RelayLimit relayLimit = new RelayLimit();
		Optional<DemandMeter> demandMeter = needsDemand() ? Optional.of(new DemandMeter()) : Optional.empty();
		Optional<DemandExchange> demand = demandMeter.map((meter) -> new DemandExchange(this.settings.dataCentre(),
				this.settings.peerAddress(), meter, nowNanos));
		LoadSpread loadSpread = new LoadSpread(loads, random);
		EnginePace enginePace = new EnginePace();
		ReplicaTimes replicaTimes = new ReplicaTimes();
		Optional<FleetRoutes> routes = demand.flatMap((exchange) -> this.options.balancing()
			.map((balancing) -> new FleetRoutes(this.settings.dataCentre(), balancing, loads::slowdownFactor,
					replicaTimes, exchange, new BalancingListener())));
		Optional<FlowPathChoice> flowPaths = routes
			.map((fleetRoutes) -> new FlowPathChoice(fleetRoutes, loads, loadSpread, enginePace, random));
		Optional<HedgePolicy> hedging = createHedging(retryBudget, loads);
		Optional<OverloadControl> overload = this.options.overload()
			.map((features) -> new OverloadControl(features, demandMeter.orElseThrow(), demand.orElseThrow(),
					this.directory, loads, random, createOverloadListener()));
		BodyMemory bodyMemory = BodyMemory.ofHeap();
		Optional<VmPressure> pressure = this.options.pressure()
			.map((pressureOptions) -> new VmPressure(pressureOptions,
					new VmPressure.Size(this.settings.size().cores(), this.settings.size().linkBitsPerSecond()),
					this.settings.peerAddress(), new JvmResources(bodyMemory, this.metrics::sentBytes), random,
					new PressureListener(), nowNanos));
		GatewayContext context = new GatewayContext(this.vertx, this.eventLoopDelay, this.settings.dataCentre(),
				this.adapter.headers(), this.rules, this.freshness, this.directory, loads,
				this.options.balancing().isPresent() ? new StreamOutputs(enginePace) : new StreamOutputs(), contacts,
				reach, relays, this.relayKey, limits, monitor, engineControl, connections,
				new PathSearch(this.settings.dataCentre(), loads, random), loadSpread, routes, replicaTimes, flowPaths,
				retryBudget, demandMeter, hedging, overload, pressure, crashes, random, this.metrics);
		GatewayRequestHandler requestHandler = new GatewayRequestHandler(context, this.requestsInProgress,
				this.rulesPollInterval, bodyMemory, this.gracefulStop::isStopping, this.gracefulStop::isRejecting);
		PlacementLease placementLease = new PlacementLease(this.adapter.store(), this.settings.vmName(),
				new LeasePolling(this.options.watch()
					.map((watch) -> OptionalInt.of(watch.minVmCount()))
					.orElseGet(OptionalInt::empty)),
				this.storeEras);
		PlacementLoop placementLoop = new PlacementLoop(this.rules, this.directory, engineControl, placementLease,
				(service) -> routes.filter((fleetRoutes) -> fleetRoutes.isActive(service)).isPresent(), this.metrics);
		RelayReceiver relayReceiver = new RelayReceiver(this.relayKey, relayLimit, reach, datagrams, requestHandler,
				() -> isReady() && pressure.filter((vmPressure) -> !vmPressure.acceptsRelays()).isEmpty(),
				this.metrics);
		LoadReportBroadcaster loadBroadcaster = new LoadReportBroadcaster(datagrams,
				(vm, id, startedAtMillis, report) -> this.directory.findById(id)
					.filter((engine) -> engine.startedAtMillis() == startedAtMillis)
					.ifPresent((engine) -> monitor.onPeerReport(vm, engine, report)));
		QuarantineSync quarantineSync = new QuarantineSync(this.vertx, this.quarantine, this.adapter, this.storeOutage,
				datagrams::sendToAll);
		crashes.setChangeListener(quarantineSync::save);
		datagrams.addReceiver((sender, message) -> loadBroadcaster.receive(sender, message));
		datagrams.addReceiver((sender, message) -> quarantineSync.receive(message));
		datagrams.addReceiver((sender, message) -> {
			leaving.receive(message.getLeavingList());
			if (message.getAsksForRelay()) {
				monitor.onPeerCutOff(sender);
				relayReceiver.offer(sender);
			}
			if (message.hasRelayOffer()) {
				relays.receive(sender, message.getRelayOffer());
				this.requestsInProgress.dispatchWaiting(System.nanoTime());
			}
		});
		monitor.setReportListener((engine, report) -> {
			loadBroadcaster.add(engine, report);
			report.peek((received) -> crashes.recordSignOfLife());
		});
		FleetRegistry fleetRegistry = new FleetRegistry(this.vertx, this.adapter.store(), this.adapter.hintFeed(),
				new FleetRegistry.RegisteredVm(this.settings.vmName(), this.settings.dataCentre(),
						Optional.of(this.settings.peerAddress()), this.settings.size().cores(),
						this.settings.size().linkBitsPerSecond()),
				(vms) -> {
					datagrams.setVms(vms.stream().flatMap((vm) -> vm.address().stream()).toList());
					relays.setVms(vms);
				}, (vms) -> {
					List<String> vmNames = vms.stream().map(FleetRegistry.RegisteredVm::name).toList();
					retryBudget.setVmCount(vms.size());
					hedging.ifPresent((policy) -> policy.setVmCount(vms.size()));
					replicaLimits.setVms(vmNames);
					placementLease.setVms(vmNames);
					List<FleetRegistry.RegisteredVm> localVms = vms.stream()
						.filter((vm) -> vm.dataCentre().equals(this.settings.dataCentre()))
						.toList();
					this.storeSharing.ifPresent((sharing) -> sharing.setVms(watchVms(vms)));
					demand.ifPresent((exchange) -> exchange.setVms(vms.stream()
						.filter((vm) -> vm.address().isPresent())
						.collect(Collectors.toMap((vm) -> vm.address().get(), FleetRegistry.RegisteredVm::dataCentre,
								(first, second) -> first))));
					pressure.ifPresent((vmPressure) -> vmPressure.setVms(localVms.stream()
						.filter((vm) -> vm.address().isPresent())
						.collect(Collectors.toMap((vm) -> vm.address().get(), FleetRegistry.RegisteredVm::cores,
								(first, second) -> first))));
					pollScheduler.setVms(localVms.stream().map(FleetRegistry.RegisteredVm::name).toList());
					loadBroadcaster.setPeers(localVms.stream().flatMap((vm) -> vm.address().stream()).toList());
				});
		reach.setListener(new ReachMonitor.Listener() {
			@Override
			public void onCutOff() {
				crashes.onCutOff();
				loadBroadcaster.discardPending();
				if (relays.startAsking()) {
					fleetRegistry.refresh();
				}
				GatewayServer.this.requestsInProgress.onCutOff();
			}

			@Override
			public void onCheckEnd() {
				GatewayServer.this.requestsInProgress.dispatchWaiting(System.nanoTime());
			}

			@Override
			public void onReached() {
				relays.stopAsking();
				loads.forgetFailures();
			}
		});
		demand.ifPresent((exchange) -> exchangeDemand(exchange, pressure, datagrams));
		overload.ifPresent((control) -> this.vertx.setPeriodic(OVERLOAD_UPDATE_MILLIS, (timer) -> runTick("overload",
				() -> this.rules.current().ifPresent((current) -> control.update(current, System.nanoTime())))));
		this.storeEras.addListener(() -> {
			this.metrics.setStoreEra(this.storeEras.current());
			this.directory.onStoreRestored(TimeUnit.MILLISECONDS.toNanos(StoreEras.SETTLE_MILLIS), System.nanoTime());
			fleetRegistry.onStoreRestored();
			this.relayKey.onStoreRestored();
		});
		startWatchers();
		fleetRegistry.start();
		this.relayKey.start();
		quarantineSync.start();
		this.vertx.setPeriodic(LOAD_BROADCAST_MILLIS, (timer) -> loadBroadcaster.flush());
		this.vertx.setPeriodic(CONTACT_COUNT_MILLIS,
				(timer) -> this.metrics.setReplicasHeard(contacts.count(System.nanoTime())));
		GatewayListeners listeners = new GatewayListeners(this.vertx, this.transport, this.settings,
				this.options.clients(), this.metrics, () -> this.rules.current().map(RoutingRules::limits),
				this::isReady);
		this.vertx.setPeriodic(TICK_MILLIS, (timer) -> {
			if (this.closing) {
				return;
			}
			long tickNanos = System.nanoTime();
			long delayNanos = this.eventLoopDelay.recordTick(tickNanos);
			relayLimit.recordDelay(delayNanos);
			pressure.ifPresent((vmPressure) -> runTick("pressure", () -> vmPressure.tick(delayNanos, tickNanos)));
			recordEventLoopDelay(delayNanos);
			runTick("clients", () -> listeners.tick(tickNanos));
			runTick("reach", () -> reach.tick(tickNanos));
			runTick("relays", () -> relays.tick(tickNanos));
			runTick("directory", () -> this.directory.tick(tickNanos));
			routes.ifPresent((fleetRoutes) -> runTick("routes", () -> this.rules.current()
				.ifPresent((current) -> fleetRoutes.tick(this.directory.usable(), current, tickNanos))));
			if (!reach.isCutOff()) {
				runTick("placement", () -> placementLoop.tick(tickNanos));
			}
			runTick("monitor", () -> monitor.tick(usableEngines(), tickNanos));
			this.storeSharing
				.ifPresent((sharing) -> runTick("watch", () -> sharing.tick(this.relayKey.value().isPresent())));
			runTick("requests", () -> this.requestsInProgress.tick(tickNanos));
			this.metrics.setInProgress(this.requestsInProgress.count(), bodyMemory.heldBytes());
		});
		return datagrams.start()
			.compose((listening) -> listeners.listen(requestHandler::handle))
			.onSuccess((listening) -> listeners.listenToRelays(peerHandler(relayReceiver)));
	}

	private StoreSharing shareStore(WatchOptions watch, GatewayAdapter direct) {
		StoreSharing.Kinds kinds = new StoreSharing.Kinds(
				List.of(new WatchedKind(direct.objects().rulesKind(),
						Math.min(this.watchWaits.maxMillis(), this.freshness.sharedWaitMillis()), true,
						new FollowerBounds(this.settings.bounds().rulesMillis())),
						new WatchedKind(direct.objects().replicasKind(), this.watchWaits.sharedReplicasMillis(), false,
								new FollowerBounds(this.settings.bounds().drainMillis()))),
				List.of(WatchedKind.hint(QuarantineSync.KIND, QuarantineSync.WATCH_WAIT_MILLIS),
						WatchedKind.hint(FleetRegistry.KIND, VM_LISTING_WAIT_MILLIS)));
		StoreSharing.Platform platform = new StoreSharing.Platform(direct.feed(), direct.hintFeed(), direct.eras(),
				new WatchClient(this.vertx, this.relayKey::value), Timestamp::now,
				(delayMillis, action) -> this.vertx.setTimer(delayMillis, (timer) -> action.run()),
				new SplittableRandom());
		return new StoreSharing(watch, new StoreSharing.Own(this.settings.vmName(), this.settings.dataCentre()), kinds,
				platform, this.metrics);
	}

	private static List<WatchVm> watchVms(List<FleetRegistry.RegisteredVm> vms) {
		return vms.stream()
			.filter((vm) -> vm.address().isPresent())
			.map((vm) -> new WatchVm(vm.name(), vm.dataCentre(), vm.address().get(),
					WatchVm.capacityOf(vm.cores(), vm.linkBitsPerSecond())))
			.toList();
	}

	private Handler<HttpServerRequest> peerHandler(RelayReceiver relayReceiver) {
		Optional<WatchEndpoint> watch = this.storeSharing
			.map((sharing) -> new WatchEndpoint(this.relayKey::matches, sharing.answers()));
		return (request) -> watch.filter((endpoint) -> endpoint.accepts(request))
			.ifPresentOrElse((endpoint) -> endpoint.handle(request), () -> relayReceiver.handle(request));
	}

	private Optional<HedgePolicy> createHedging(FleetRetryBudget retryBudget, ReplicaLoads loads) {
		return this.options.hedging()
			.map((hedging) -> new HedgePolicy(hedging,
					TimeUnit.MILLISECONDS.toNanos(this.settings.bounds().retryWindowMillis()), retryBudget,
					new KnownLoadCapacity(loads, this.requestsInProgress::isAnyWaiting)));
	}

	private OverloadListener createOverloadListener() {
		return new OverloadListener() {
			@Override
			public void onThresholdChange(String service, AdmissionThreshold threshold) {
				OptionalInt priority = threshold.shares().threshold();
				LOGGER.infof(
						"Admission threshold changed: service=%s threshold=%s share=%.2f limit=%.2f demand=%.2f "
								+ "late=%.2f",
						service, priority.isPresent() ? priority.getAsInt() : "none",
						priority.isPresent() ? threshold.shares().share(priority.getAsInt()) : 1.0, threshold.limit(),
						threshold.demand(), threshold.lateShare());
			}

			@Override
			public void onUpdate(String service, AdmissionThreshold threshold, double availableShare) {
				GatewayServer.this.metrics.setAdmission(service, threshold, availableShare);
			}

			@Override
			public void onRejection(Arrival arrival, int rank, boolean hasWaited) {
				GatewayServer.this.metrics.recordShedRequest(arrival.service().name(), arrival.organisation(), rank,
						hasWaited);
			}

			@Override
			public void onEstimateChecked(double ratio) {
				GatewayServer.this.metrics.recordEstimateRatio(ratio);
			}
		};
	}

	private boolean needsDemand() {
		return this.options.overload().isPresent() || this.options.balancing().isPresent()
				|| this.options.pressure().isPresent();
	}

	private void exchangeDemand(DemandExchange exchange, Optional<VmPressure> pressure, VmDatagrams datagrams) {
		datagrams.addReceiver((sender, message) -> {
			exchange.receive(sender, message, System.nanoTime());
			pressure.ifPresent((vmPressure) -> vmPressure.receive(sender, message, System.nanoTime()));
		});
		this.vertx.setPeriodic(DEMAND_EXCHANGE_MILLIS, (timer) -> {
			long nowNanos = System.nanoTime();
			List<DemandExchange.Outgoing> due = exchange.tick(nowNanos);
			pressure.map((vmPressure) -> vmPressure.addTo(due, nowNanos))
				.orElse(due)
				.forEach((outgoing) -> datagrams.send(outgoing.message(), outgoing.receivers()));
		});
	}

	private void recordForeignAnswer(ForeignAnswer answer) {
		Optional<Replica> replica = this.directory.findByAddress(answer.server());
		this.metrics.recordForeignAnswer(replica.map(Replica::service).orElse(""));
		RequestEventLog.logForeignAnswer(answer, replica.map(Replica::id).orElse(""));
	}

	private void recordMergedAnswer(MergedAnswer answer) {
		Optional<Replica> replica = this.directory.findByAddress(answer.server());
		this.metrics.recordMergedAnswer(replica.map(Replica::service).orElse(""));
		RequestEventLog.logMergedAnswer(answer, replica.map(Replica::id).orElse(""));
	}

	private void recordEventLoopDelay(long delayNanos) {
		this.metrics.recordEventLoopDelay(delayNanos);
		if (delayNanos > LOGGED_DELAY_NANOS) {
			LOGGER.warnf("Event loop was held up: millis=%d", TimeUnit.NANOSECONDS.toMillis(delayNanos));
		}
	}

	private static void runTick(String part, Runnable action) {
		try {
			action.run();
		}
		catch (RuntimeException ex) {
			LOGGER.errorf(ex, "Periodic work failed: part=%s", part);
		}
	}

	private void startWatchers() {
		new StoreWatcher(this.vertx, this.adapter.feed(), this.adapter.hintFeed(), this.adapter.objects().rulesKind(),
				() -> Math.min(this.watchWaits.maxMillis(), this.rulesPollInterval.nextWaitMillis(System.nanoTime())),
				RULES_BATCH_MILLIS,
				StoreWatcher.Listener.ofObjects((objects) -> objects.forEach(this::applyRules),
						this::recordConfirmation),
				this.storeOutage, this.storeEras, StoreWatcher.OutageRole.PROBES)
			.start();
		new StoreWatcher(this.vertx, this.adapter.feed(), this.adapter.hintFeed(),
				this.adapter.objects().replicasKind(), this.watchWaits::maxMillis,
				(long) (REPLICAS_BATCH_SHARE * this.settings.bounds().drainMillis()),
				new DirectoryListener(this.adapter.objects(), this.directory), this.storeOutage, this.storeEras,
				StoreWatcher.OutageRole.WAITS)
			.start();
	}

	// A copy of the store may lack rules that it had acknowledged.
	private void recordConfirmation(Timestamp confirmedAt) {
		if (this.storeEras.isSettledAt(confirmedAt)) {
			this.freshness.recordConfirmation(confirmedAt);
		}
	}

	private void applyRules(StoredObject object) {
		this.adapter.objects()
			.readRules(object)
			.peekLeft((fault) -> LOGGER.errorf("Rules cannot be read, the present ones stay: revision=%s fault=%s",
					object.version(), fault))
			.peek((decoded) -> decoded.filter(this.rules::offer).ifPresent((next) -> {
				LOGGER.infof("Rules in force: version=%d revision=%s", next.version(), object.version());
				this.metrics.setRulesVersion(next.version());
			}));
	}

	// The directory makes a new snapshot for each change.
	private List<Replica> usableEngines() {
		Map<String, List<Replica>> usable = this.directory.usable();
		if (usable != this.lastUsable) {
			this.lastUsable = usable;
			this.lastUsableEngines = usable.values()
				.stream()
				.flatMap(Collection::stream)
				.filter((replica) -> replica.layers().isPresent())
				.toList();
		}
		return this.lastUsableEngines;
	}

	private boolean isReady() {
		return !this.gracefulStop.isStopping() && this.rules.current().isPresent()
				&& this.freshness.isFresh(Timestamp.now());
	}

	/**
	 * Closes all connections and sockets immediately.
	 * @return completes when everything is closed
	 */
	public Future<Void> close() {
		this.closing = true;
		return this.vertx.close();
	}

	/**
	 * Stops gracefully: leaves the load balancer's rotation, lets requests in progress
	 * finish, and closes all connections within the grace period, after what was written
	 * to them has been sent.
	 * @return completes when the process can exit
	 */
	public Future<Void> stop() {
		return this.gracefulStop.start();
	}

	/**
	 * Logs and counts what is decided under pressure.
	 */
	private final class PressureListener implements VmPressure.Listener {

		@Override
		public void onSample(ResourcePressure pressure) {
			GatewayServer.this.metrics.setPressure(pressure);
		}

		@Override
		public void onStateChange(PressureState before, PressureState after, String details) {
			LOGGER.infof("Pressure changed: from=%s to=%s %s", before, after, details);
		}

		@Override
		public void onHandedOver() {
			GatewayServer.this.metrics.recordPressureRequest("handed_over");
		}

		@Override
		public void onDeclined() {
			GatewayServer.this.metrics.recordPressureRequest("declined");
		}

		@Override
		public void onRejected() {
			GatewayServer.this.metrics.recordPressureRequest("rejected");
		}

	}

	/**
	 * Logs and counts what balancing decides.
	 */
	private final class BalancingListener implements FleetRoutes.Listener {

		@Override
		public void onActivation(String service, boolean isActive, String reason) {
			LOGGER.infof("Balancing changed: service=%s active=%s reason=%s", service, isActive, reason);
		}

		@Override
		public void onShares(String service, List<DataCentreLoad> loads, boolean isLarge) {
			loads.forEach((load) -> GatewayServer.this.metrics.setDataCentreLoad(service, load));
			if (isLarge) {
				LOGGER.infof("Shares of data centres changed: service=%s loads=%s", service,
						loads.stream().map(DataCentreLoad::describe).collect(Collectors.joining(",")));
			}
		}

	}

}
