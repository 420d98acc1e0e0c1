package org.burdocktray.process.serve.gateway;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import io.vavr.control.Either;
import org.burdocktray.model.DataCentre;
import org.burdocktray.process.directory.LayerRange;
import org.burdocktray.process.directory.LoadReport;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.process.directory.ReplicaDirectory;
import org.burdocktray.process.placement.LayerPlacement;
import org.burdocktray.process.placement.OrderLedger;
import org.burdocktray.process.placement.Replacement;
import org.burdocktray.process.placement.Vacancies;
import org.burdocktray.version.rules.EngineProfile;
import org.burdocktray.version.rules.RulesGate;
import org.burdocktray.version.rules.ServiceRule;
import org.jboss.logging.Logger;

/**
 * Brings the engines to hold the layers that {@link LayerPlacement} decides, while this
 * VM holds the lease. An engine is asked for its state before each order, so that orders
 * say which state they were decided on. Thread safety: none, confined to one event loop.
 */
final class PlacementLoop {

	private static final Logger LOGGER = Logger.getLogger(PlacementLoop.class);

	/** New engines register one after the other. */
	private static final long SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

	/** How long after a new engine the one that it replaces may still be listed. */
	private static final long REPLACE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

	private final RulesGate rules;

	private final ReplicaDirectory directory;

	private final ReplicaControl control;

	private final PlacementLease lease;

	private final OrderLedger ledger = new OrderLedger();

	private final Vacancies vacancies = new Vacancies();

	private final Map<String, Long> firstSeenNanos = new HashMap<>();

	private final Map<Group, Long> brokenSinceNanos = new HashMap<>();

	private Map<String, List<Replica>> lastListed = Map.of();

	private long lastNewNanos;

	PlacementLoop(RulesGate rules, ReplicaDirectory directory, ReplicaControl control, PlacementLease lease) {
		this.rules = rules;
		this.directory = directory;
		this.control = control;
		this.lease = lease;
	}

	void tick(long nowNanos) {
		this.lease.tick(nowNanos);
		this.rules.current().ifPresent((current) -> {
			noteNewEngines(nowNanos);
			if (this.lease.mayOrder(nowNanos)) {
				current.services().values().forEach((service) -> place(service, nowNanos));
			}
		});
	}

	private void noteNewEngines(long nowNanos) {
		Map<String, List<Replica>> listed = this.directory.usable();
		if (listed == this.lastListed) {
			return;
		}
		this.lastListed = listed;
		Set<String> starts = new HashSet<>();
		for (List<Replica> replicas : listed.values()) {
			for (Replica replica : replicas) {
				String start = replica.id() + replica.bornMillis();
				starts.add(start);
				if (this.firstSeenNanos.putIfAbsent(start, nowNanos) == null && replica.acceleratorKind().isPresent()) {
					this.lastNewNanos = nowNanos;
				}
			}
		}
		this.firstSeenNanos.keySet().retainAll(starts);
		this.vacancies.observe(listed.values()
			.stream()
			.flatMap(List::stream)
			.filter((replica) -> replica.acceleratorKind().isPresent())
			.toList(), nowNanos);
	}

	private void place(ServiceRule service, long nowNanos) {
		if (service.engine().isEmpty()) {
			return;
		}
		EngineProfile profile = service.engine().get();
		Map<DataCentre, List<Replica>> byDataCentre = this.directory.usable(service.name())
			.stream()
			.map((engine) -> this.ledger.withExpectedLayers(engine, nowNanos))
			.collect(Collectors.groupingBy(Replica::dataCentre));
		byDataCentre.values().removeIf((engines) -> isFilling(engines, nowNanos));
		byDataCentre
			.forEach((dataCentre, engines) -> place(new Group(service.name(), dataCentre), engines, profile, nowNanos));
	}

	private void place(Group group, List<Replica> engines, EngineProfile profile, long nowNanos) {
		Replacement replacement = new Replacement(this.vacancies.left(group.service(), group.dataCentre()),
				(engine) -> isSettled(engine, nowNanos), isLongBroken(group, engines, profile, nowNanos));
		Map<String, LayerRange> changes = LayerPlacement.changes(engines, profile, replacement);
		for (Replica engine : engines) {
			LayerRange layers = changes.get(engine.id());
			if (layers != null) {
				order(engine, layers, nowNanos);
			}
		}
	}

	private boolean isLongBroken(Group group, List<Replica> engines, EngineProfile profile, long nowNanos) {
		if (!LayerPlacement.isBroken(engines, profile)) {
			this.brokenSinceNanos.remove(group);
			return false;
		}
		return nowNanos - this.brokenSinceNanos.computeIfAbsent(group, (any) -> nowNanos) > REPLACE_NANOS;
	}

	private boolean isSettled(Replica engine, long nowNanos) {
		Long seen = this.firstSeenNanos.get(engine.id() + engine.bornMillis());
		return seen != null && nowNanos - seen > REPLACE_NANOS;
	}

	// A data centre without any layers waits for all its engines to register.
	private boolean isFilling(List<Replica> engines, long nowNanos) {
		boolean isEmpty = engines.stream().allMatch((engine) -> engine.layers().isEmpty());
		return isEmpty && nowNanos - this.lastNewNanos < SETTLE_NANOS;
	}

	private void order(Replica engine, LayerRange layers, long nowNanos) {
		if (!this.ledger.begin(engine, layers, nowNanos)) {
			return;
		}
		this.control.report(engine).subscribe((answer) -> asked(engine, layers, answer));
	}

	private void asked(Replica engine, LayerRange layers, Either<String, LoadReport> answer) {
		long nowNanos = System.nanoTime();
		if (answer.isLeft()) {
			LOGGER.infof("Order put off, engine gave no report: replica=%s fault=%s", engine.id(), answer.getLeft());
			this.ledger.putOff(engine, nowNanos);
			return;
		}
		LoadReport report = answer.get();
		if (!this.ledger.maySend(engine, report, nowNanos) || !this.lease.mayOrder(nowNanos)) {
			this.ledger.putOff(engine, nowNanos);
			return;
		}
		this.ledger.sending(engine, report, nowNanos);
		this.control.place(engine, layers, report.orderSequence(), this.lease.fencingNumber(nowNanos))
			.subscribe((result) -> {
				LOGGER.infof("Order answered: replica=%s layers=%d-%d expectedSequence=%d answer=%s", engine.id(),
						layers.from(), layers.to(), report.orderSequence(), result);
				if (result == ReplicaControl.OrderAnswer.ACCEPTED) {
					this.vacancies.filled(engine.withLayers(Optional.of(layers)));
				}
				this.ledger.answered(engine, result != ReplicaControl.OrderAnswer.REFUSED,
						result == ReplicaControl.OrderAnswer.UNRESOLVED, System.nanoTime());
			});
	}

	private record Group(String service, DataCentre dataCentre) {

	}

}
