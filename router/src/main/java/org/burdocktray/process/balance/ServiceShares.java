package org.burdocktray.process.balance;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;

import org.burdocktray.model.DataCentre;
import org.burdocktray.process.demand.ClassLoad;
import org.burdocktray.process.demand.DataCentreDemand;
import org.burdocktray.process.settings.GatewayOptions.Activation;
import org.burdocktray.process.settings.GatewayOptions.BalancingOptions;

/**
 * The shares of the data centres in the requests for one service, and whether balancing
 * is in effect for it. Thread safety: none, confined to one event loop.
 */
final class ServiceShares {

	/** Balancing stays in effect this long after its cause. */
	private static final long ACTIVE_NANOS = TimeUnit.SECONDS.toNanos(30);

	/** Below this utilisation, differences between data centres do not matter. */
	private static final double MIN_UTILISATION = 0.3;

	private static final double LARGE_SHARE_CHANGE = 0.1;

	private final String service;

	private final DataCentre localDataCentre;

	private final BalancingOptions options;

	private final FleetRoutes.Listener listener;

	private final Map<DataCentre, DemandTrend> trends = new HashMap<>();

	private Map<DataCentre, Double> shares = Map.of();

	private Map<DataCentre, Double> reportedShares = Map.of();

	private boolean active;

	/** Whether {@link #activeUntilNanos} is set. */
	private boolean hasCause;

	private long activeUntilNanos;

	ServiceShares(String service, DataCentre localDataCentre, BalancingOptions options, FleetRoutes.Listener listener) {
		this.service = service;
		this.localDataCentre = localDataCentre;
		this.options = options;
		this.listener = listener;
	}

	boolean isActive() {
		return this.active;
	}

	Map<DataCentre, Double> shares() {
		return this.shares;
	}

	/**
	 * Keeps balancing in effect for a while.
	 * @param nowNanos the current time of the monotonic clock
	 */
	void extend(long nowNanos) {
		this.activeUntilNanos = nowNanos + ACTIVE_NANOS;
		this.hasCause = true;
	}

	/**
	 * Divides requests between the data centres.
	 * @param demands the demand of the data centres
	 * @param rate the rate of requests of a load, in the unit of the capacity
	 * @param capacity the rates that the data centres bear, those of all that have any
	 * replica
	 * @param hasUnlikeEngines whether the speed of engines differs
	 * @param nowNanos the current time of the monotonic clock
	 */
	void divide(List<DataCentreDemand> demands, ToDoubleFunction<ClassLoad> rate, Map<DataCentre, Double> capacity,
			boolean hasUnlikeEngines, long nowNanos) {
		Map<DataCentre, Double> demand = new HashMap<>();
		this.trends.keySet().retainAll(demands.stream().map(DataCentreDemand::dataCentre).collect(Collectors.toSet()));
		for (DataCentreDemand reported : demands) {
			DemandTrend trend = this.trends.computeIfAbsent(reported.dataCentre(), (key) -> new DemandTrend());
			trend.record(rate.applyAsDouble(loadOf(reported)), nowNanos);
			demand.put(reported.dataCentre(), trend.ahead());
		}
		this.shares = DataCentreShares.compute(this.localDataCentre, demand, capacity);
		updateActivation(hasUnlikeEngines, isUneven(demand, capacity), nowNanos);
		report(demand, capacity);
	}

	private ClassLoad loadOf(DataCentreDemand reported) {
		return reported.demand()
			.classes()
			.entrySet()
			.stream()
			.filter((entry) -> entry.getKey().service().equals(this.service))
			.map(Map.Entry::getValue)
			.reduce(ClassLoad.NONE, ClassLoad::plus);
	}

	private boolean isUneven(Map<DataCentre, Double> demand, Map<DataCentre, Double> capacity) {
		double lowest = Double.POSITIVE_INFINITY;
		double highest = 0;
		for (Map.Entry<DataCentre, Double> entry : capacity.entrySet()) {
			double utilisation = demand.getOrDefault(entry.getKey(), 0.0) / Math.max(1e-9, entry.getValue());
			lowest = Math.min(lowest, utilisation);
			highest = Math.max(highest, utilisation);
		}
		return highest > MIN_UTILISATION && highest > this.options.imbalanceRatio() * lowest;
	}

	private void updateActivation(boolean hasUnlikeEngines, boolean isUneven, long nowNanos) {
		if (isUneven) {
			extend(nowNanos);
		}
		boolean isAlways = this.options.activation() == Activation.ALWAYS;
		boolean isCaused = this.hasCause && nowNanos - this.activeUntilNanos < 0;
		boolean next = isAlways || hasUnlikeEngines || isCaused;
		if (next != this.active) {
			this.active = next;
			this.listener.onActivation(this.service, next, reason(isAlways, hasUnlikeEngines, isCaused));
		}
	}

	private static String reason(boolean isAlways, boolean hasUnlikeEngines, boolean isCaused) {
		if (isAlways) {
			return "always";
		}
		if (hasUnlikeEngines) {
			return "accelerator kinds differ";
		}
		return isCaused ? "uneven utilisation or lost engines" : "even load";
	}

	private void report(Map<DataCentre, Double> demand, Map<DataCentre, Double> capacity) {
		boolean isLarge = capacity.keySet()
			.stream()
			.anyMatch((dataCentre) -> Math.abs(this.shares.getOrDefault(dataCentre, 0.0)
					- this.reportedShares.getOrDefault(dataCentre, 0.0)) > LARGE_SHARE_CHANGE);
		if (isLarge) {
			this.reportedShares = Map.copyOf(this.shares);
		}
		this.listener.onShares(this.service,
				capacity.keySet()
					.stream()
					.map((dataCentre) -> new DataCentreLoad(dataCentre, demand.getOrDefault(dataCentre, 0.0),
							capacity.get(dataCentre), this.shares.getOrDefault(dataCentre, 0.0)))
					.toList(),
				isLarge);
	}

}
