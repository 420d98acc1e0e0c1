package org.burdocktray.process.balance;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;

import org.burdocktray.model.DataCentre;
import org.burdocktray.process.demand.DataCentreDemand;
import org.burdocktray.process.demand.FleetDemand;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.process.settings.GatewayOptions.BalancingOptions;
import org.burdocktray.version.rules.RoutingRules;

/**
 * Draws the engines of requests by the flow that they can serve. Each VM solves the flow
 * of each data centre by itself when engines come, go or change their speed, and divides
 * requests between the data centres by the demand of all VMs. VMs draw at random, so
 * those that know the same old reports do not choose the same path. Invariant: the work
 * of one draw of engines grows with the stages of the path only. Thread safety: none,
 * confined to one event loop.
 */
public final class FleetRoutes {

	/** Flows are solved at most this often, except for new rules. */
	private static final long MIN_SOLVE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

	/** How often the speed of engines and the demand are looked at. */
	private static final long REFRESH_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private final DataCentre localDataCentre;

	private final BalancingOptions options;

	private final ToDoubleFunction<Replica> slowdownFactor;

	private final FleetDemand demand;

	private final Listener listener;

	private final ReplicaTimes times;

	private final Map<String, ServiceRoutes> services = new HashMap<>();

	private final Map<String, PlainRoutes> plainServices = new HashMap<>();

	private Map<String, List<Replica>> lastListed = Map.of();

	private RoutingRules lastRules;

	private long lastUpdateNanos;

	/**
	 * Creates routes that are not solved yet.
	 * @param localDataCentre the data centre of this VM
	 * @param options when balancing takes effect
	 * @param slowdownFactor the factor by which an engine is slower than its kind
	 * @param times the response times of plain replicas
	 * @param demand the demand of the data centres
	 * @param listener is notified of changes
	 */
	public FleetRoutes(DataCentre localDataCentre, BalancingOptions options, ToDoubleFunction<Replica> slowdownFactor,
			ReplicaTimes times, FleetDemand demand, Listener listener) {
		this.times = times;
		this.localDataCentre = localDataCentre;
		this.options = options;
		this.slowdownFactor = slowdownFactor;
		this.demand = demand;
		this.listener = listener;
	}

	/**
	 * Follows changes of engines, speed and demand.
	 * @param listed the usable replicas by service, the same object while none changes
	 * @param rules the rules in force
	 * @param nowNanos the current time of the monotonic clock
	 */
	public void tick(Map<String, List<Replica>> listed, RoutingRules rules, long nowNanos) {
		boolean hasNewRules = rules != this.lastRules;
		boolean hasNewEngines = listed != this.lastListed && nowNanos - this.lastUpdateNanos >= MIN_SOLVE_NANOS;
		if (!hasNewRules && !hasNewEngines && nowNanos - this.lastUpdateNanos < REFRESH_NANOS) {
			return;
		}
		this.lastUpdateNanos = nowNanos;
		this.lastListed = listed;
		this.lastRules = rules;
		this.services.keySet()
			.removeIf((name) -> rules.service(name).filter((service) -> service.engine().isPresent()).isEmpty());
		this.plainServices.keySet()
			.removeIf((name) -> rules.service(name).filter((service) -> service.engine().isEmpty()).isEmpty());
		List<DataCentreDemand> demands = this.demand.dataCentres(nowNanos);
		Set<String> plainReplicas = new HashSet<>();
		rules.services().forEach((name, service) -> service.engine().ifPresentOrElse((profile) -> {
			ServiceRoutes routes = this.services.computeIfAbsent(name,
					(key) -> new ServiceRoutes(createShares(key), this.options.imbalanceRatio()));
			routes.update(listed.getOrDefault(name, List.of()), profile, StreamTargets.strictest(rules, name),
					this.slowdownFactor, nowNanos);
			routes.divide(demands, nowNanos);
		}, () -> {
			List<Replica> replicas = listed.getOrDefault(name, List.of());
			replicas.forEach((replica) -> plainReplicas.add(replica.id()));
			this.plainServices.computeIfAbsent(name, (key) -> new PlainRoutes(createShares(key), this.times))
				.update(replicas, demands, nowNanos);
		}));
		this.times.retainListed(plainReplicas::contains);
	}

	private ServiceShares createShares(String service) {
		return new ServiceShares(service, this.localDataCentre, this.options, this.listener);
	}

	/**
	 * Chooses a replica of a plain service.
	 * @param service the name of the service
	 * @param candidates the replicas that may be used
	 * @param inFlight the number of requests of this VM at a replica
	 * @param random the source of the draw
	 * @param nowNanos the current time of the monotonic clock
	 * @return the replica, empty if balancing is not in effect for the service or none
	 * has a share
	 */
	public Optional<Replica> choosePlain(String service, List<Replica> candidates, ToIntFunction<Replica> inFlight,
			RandomGenerator random, long nowNanos) {
		PlainRoutes routes = this.plainServices.get(service);
		return (routes != null) ? routes.choose(candidates, inFlight, random, nowNanos) : Optional.empty();
	}

	/**
	 * Draws the engines for one request.
	 * @param service the name of the service
	 * @param random the source of the draw
	 * @return engines that held all layers at the last {@link #tick}, in order, each of
	 * them run from the end of the one before; empty if balancing is not in effect for
	 * the service or no flow is known
	 */
	public Optional<List<Replica>> draw(String service, RandomGenerator random) {
		ServiceRoutes routes = this.services.get(service);
		return (routes != null) ? routes.draw(random) : Optional.empty();
	}

	/**
	 * Returns whether balancing is in effect for a service.
	 * @param service the name of the service
	 * @return true if its requests are drawn by flow
	 */
	public boolean isActive(String service) {
		ServiceRoutes routes = this.services.get(service);
		return routes != null && routes.isActive();
	}

	/**
	 * Hears of changes.
	 */
	public interface Listener {

		/**
		 * Handles that balancing takes effect for a service, or no longer does.
		 * @param service the name of the service
		 * @param isActive whether it is in effect now
		 * @param reason why
		 */
		void onActivation(String service, boolean isActive, String reason);

		/**
		 * Handles new shares of the data centres in the requests of this one.
		 * @param service the name of the service
		 * @param loads the data centres
		 * @param isLarge whether a share differs from those reported as large before by
		 * more than a bound
		 */
		void onShares(String service, List<DataCentreLoad> loads, boolean isLarge);

	}

}
