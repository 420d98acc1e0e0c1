package org.burdocktray.process.serve.gateway;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import io.vavr.control.Either;
import org.burdocktray.model.DataCentre;
import org.burdocktray.process.balance.FlowCapacity;
import org.burdocktray.process.balance.StreamTargets;
import org.burdocktray.process.directory.LayerRange;
import org.burdocktray.process.directory.LoadReport;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.process.directory.ReplicaDirectory;
import org.burdocktray.process.placement.DepartedEngines;
import org.burdocktray.process.placement.FlowPlacement;
import org.burdocktray.process.placement.LayerPlacement;
import org.burdocktray.process.placement.OrderTracker;
import org.burdocktray.process.placement.PlacementChange;
import org.burdocktray.process.placement.PlacementContext;
import org.burdocktray.version.rules.EngineProfile;
import org.burdocktray.version.rules.RulesGate;
import org.burdocktray.version.rules.ServiceRule;
import org.jboss.logging.Logger;

/**
 * Orders engines to hold the layers that {@link LayerPlacement} assigns to them, while
 * this VM holds the lease. Requests a load report before each order, so that the order
 * can name the state on which it was decided. Thread safety: none, confined to one event
 * loop.
 */
final class PlacementLoop {

	private static final Logger LOGGER = Logger.getLogger(PlacementLoop.class);

	/**
	 * The wait for further engines after a new one, since engines register one after the
	 * other.
	 */
	private static final long REGISTRATION_SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

	/** How long the predecessor of a new engine may stay listed. */
	private static final long REPLACEMENT_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

	/** How long a decision holds while nothing changes. */
	private static final long DECISION_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final RulesGate rules;

	private final ReplicaDirectory directory;

	private final EngineControl engineControl;

	private final PlacementLease lease;

	private final OrderTracker orderTracker = new OrderTracker();

	private final DepartedEngines departedEngines = new DepartedEngines();

	private final Map<String, Long> firstSeenNanos = new HashMap<>();

	private final Map<EngineGroup, Long> unassignedSinceNanos = new HashMap<>();

	private final Map<EngineGroup, Decision> decisions = new HashMap<>();

	private final Predicate<String> followsFlow;

	private final GatewayMetrics metrics;

	private Map<String, List<Replica>> lastListed = Map.of();

	private long lastNewEngineNanos;

	/**
	 * Creates the loop.
	 * @param rules the rules in force
	 * @param directory the engines
	 * @param engineControl sends orders
	 * @param lease decides which VM orders
	 * @param followsFlow whether the layers of the engines of a service follow the flow
	 * that they bear, by the name of the service
	 * @param metrics counts the decisions
	 */
	PlacementLoop(RulesGate rules, ReplicaDirectory directory, EngineControl engineControl, PlacementLease lease,
			Predicate<String> followsFlow, GatewayMetrics metrics) {
		this.followsFlow = followsFlow;
		this.metrics = metrics;
		this.rules = rules;
		this.directory = directory;
		this.engineControl = engineControl;
		this.lease = lease;
	}

	void tick(long nowNanos) {
		this.lease.tick(nowNanos);
		this.rules.current().ifPresent((current) -> {
			trackNewEngines(nowNanos);
			if (this.lease.mayOrder(nowNanos)) {
				current.services().values().forEach((service) -> placeLayers(service, nowNanos));
			}
		});
	}

	private void trackNewEngines(long nowNanos) {
		Map<String, List<Replica>> listed = this.directory.usable();
		if (listed == this.lastListed) {
			return;
		}
		this.lastListed = listed;
		Set<String> instances = new HashSet<>();
		for (List<Replica> replicas : listed.values()) {
			for (Replica replica : replicas) {
				String instance = replica.id() + replica.startedAtMillis();
				instances.add(instance);
				if (this.firstSeenNanos.putIfAbsent(instance, nowNanos) == null
						&& replica.acceleratorKind().isPresent()) {
					this.lastNewEngineNanos = nowNanos;
				}
			}
		}
		this.firstSeenNanos.keySet().retainAll(instances);
		this.departedEngines.observe(listed.values()
			.stream()
			.flatMap(List::stream)
			.filter((replica) -> replica.acceleratorKind().isPresent())
			.toList(), nowNanos);
	}

	private void placeLayers(ServiceRule service, long nowNanos) {
		if (service.engine().isEmpty()) {
			return;
		}
		EngineProfile profile = service.engine().get();
		Map<DataCentre, List<Replica>> byDataCentre = this.directory.usable(service.name())
			.stream()
			.map((engine) -> this.orderTracker.withExpectedLayers(engine, nowNanos))
			.collect(Collectors.groupingBy(Replica::dataCentre));
		boolean isByFlow = this.followsFlow.test(service.name());
		byDataCentre.forEach((dataCentre, engines) -> {
			EngineGroup group = new EngineGroup(service.name(), dataCentre);
			boolean isReturning = isByFlow
					&& !this.departedEngines.unreplaced(group.service(), group.dataCentre()).isEmpty();
			if (!isReturning && isAwaitingRegistrations(engines, nowNanos)) {
				return;
			}
			if (isByFlow) {
				placeByFlow(group, engines, profile, nowNanos);
			}
			else {
				placeLayers(group, engines, profile, nowNanos);
			}
		});
	}

	private void placeByFlow(EngineGroup group, List<Replica> engines, EngineProfile profile, long nowNanos) {
		PlacementContext placementContext = createContext(group, engines, profile, nowNanos);
		Decision decision = this.decisions.get(group);
		if (decision == null || !decision.isFor(engines, placementContext, nowNanos)) {
			StreamTargets targets = StreamTargets.strictest(this.rules.current().orElseThrow(), group.service());
			Map<String, PlacementChange> changes = new FlowPlacement(new FlowCapacity(profile, targets))
				.computeChanges(engines, placementContext);
			decision = new Decision(List.copyOf(engines), placementContext, nowNanos, changes);
			this.decisions.put(group, decision);
		}
		Map<String, Replica> byId = engines.stream().collect(Collectors.toMap(Replica::id, (engine) -> engine));
		decision.changes().forEach((id, change) -> {
			if (byId.containsKey(id) && order(byId.get(id), change.layers(), nowNanos)) {
				LOGGER.infof("Layers assigned: replica=%s layers=%d-%d reason=%s gainPerSecond=%.1f", id,
						change.layers().from(), change.layers().to(), change.reason(), change.gainPerSecond());
				this.metrics.recordLayersAssigned(change.reason());
			}
		});
	}

	private void placeLayers(EngineGroup group, List<Replica> engines, EngineProfile profile, long nowNanos) {
		PlacementContext placementContext = createContext(group, engines, profile, nowNanos);
		Map<String, LayerRange> changes = LayerPlacement.computeChanges(engines, profile, placementContext);
		for (Replica engine : engines) {
			LayerRange layers = changes.get(engine.id());
			if (layers != null) {
				order(engine, layers, nowNanos);
			}
		}
	}

	private PlacementContext createContext(EngineGroup group, List<Replica> engines, EngineProfile profile,
			long nowNanos) {
		return new PlacementContext(this.departedEngines.unreplaced(group.service(), group.dataCentre()),
				(engine) -> isSettled(engine, nowNanos),
				hasPersistentlyUnassignedLayers(group, engines, profile, nowNanos));
	}

	private boolean hasPersistentlyUnassignedLayers(EngineGroup group, List<Replica> engines, EngineProfile profile,
			long nowNanos) {
		if (!LayerPlacement.hasUnassignedLayers(engines, profile)) {
			this.unassignedSinceNanos.remove(group);
			return false;
		}
		return nowNanos - this.unassignedSinceNanos.computeIfAbsent(group, (key) -> nowNanos) > REPLACEMENT_NANOS;
	}

	private boolean isSettled(Replica engine, long nowNanos) {
		Long firstSeen = this.firstSeenNanos.get(engine.id() + engine.startedAtMillis());
		return firstSeen != null && nowNanos - firstSeen > REPLACEMENT_NANOS;
	}

	// In a data centre where no engine holds layers yet, placement waits for all engines
	// to register.
	private boolean isAwaitingRegistrations(List<Replica> engines, long nowNanos) {
		boolean hasNoLayers = engines.stream().allMatch((engine) -> engine.layers().isEmpty());
		return hasNoLayers && nowNanos - this.lastNewEngineNanos < REGISTRATION_SETTLE_NANOS;
	}

	// Returns whether the order was started.
	private boolean order(Replica engine, LayerRange layers, long nowNanos) {
		if (!this.orderTracker.begin(engine, layers, nowNanos)) {
			return false;
		}
		this.engineControl.requestReport(engine).subscribe((received) -> onReport(engine, layers, received));
		return true;
	}

	private void onReport(Replica engine, LayerRange layers, Either<String, LoadReport> received) {
		long nowNanos = System.nanoTime();
		if (received.isLeft()) {
			LOGGER.infof("Order put off, engine gave no report: replica=%s fault=%s", engine.id(), received.getLeft());
			this.orderTracker.defer(engine, nowNanos);
			return;
		}
		LoadReport report = received.get();
		if (!this.orderTracker.canSend(engine, report, nowNanos) || !this.lease.mayOrder(nowNanos)) {
			this.orderTracker.defer(engine, nowNanos);
			return;
		}
		this.orderTracker.recordSend(engine, report, nowNanos);
		this.engineControl.orderLayers(engine, layers, report.orderSequence(), this.lease.fencingNumber(nowNanos))
			.subscribe((result) -> {
				LOGGER.infof("Order answered: replica=%s layers=%d-%d expectedSequence=%d answer=%s", engine.id(),
						layers.from(), layers.to(), report.orderSequence(), result);
				if (result == EngineControl.OrderResult.ACCEPTED) {
					this.departedEngines.markReplaced(engine.withLayers(Optional.of(layers)));
				}
				this.orderTracker.recordOutcome(engine, result != EngineControl.OrderResult.REFUSED,
						result == EngineControl.OrderResult.UNRESOLVED, System.nanoTime());
			});
	}

	private record EngineGroup(String service, DataCentre dataCentre) {

	}

	/**
	 * A decision by flow and what it was based on.
	 */
	private record Decision(List<Replica> engines, PlacementContext context, long decidedNanos,
			Map<String, PlacementChange> changes) {

		boolean isFor(List<Replica> others, PlacementContext other, long nowNanos) {
			return nowNanos - this.decidedNanos < DECISION_NANOS
					&& this.context.canMoveEngines() == other.canMoveEngines()
					&& this.context.departed().equals(other.departed()) && this.engines.equals(others);
		}

	}

}
