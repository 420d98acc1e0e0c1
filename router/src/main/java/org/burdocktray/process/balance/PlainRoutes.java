package org.burdocktray.process.balance;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;

import org.burdocktray.model.DataCentre;
import org.burdocktray.process.demand.ClassLoad;
import org.burdocktray.process.demand.DataCentreDemand;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.version.routing.WeightedChoice;

/**
 * The routes of a plain service. Replicas are drawn by the shares of their data centres
 * and by their slots, response times and failures; of two drawn ones, the one with the
 * least expected wait is taken. Thread safety: none, confined to one event loop.
 */
final class PlainRoutes {

	/**
	 * The share of its slots that a replica can use on average; responses become slower
	 * when nearly all are taken.
	 */
	private static final double MAX_FILL = 0.6;

	private static final double MILLIS_PER_SECOND = 1_000;

	private final ServiceShares shares;

	private final ReplicaTimes times;

	PlainRoutes(ServiceShares shares, ReplicaTimes times) {
		this.shares = shares;
		this.times = times;
	}

	void update(List<Replica> listed, List<DataCentreDemand> demands, long nowNanos) {
		Map<DataCentre, Double> capacity = new TreeMap<>();
		listed.forEach(
				(replica) -> capacity.merge(replica.dataCentre(), requestsPerSecond(replica, nowNanos), Double::sum));
		this.shares.divide(demands, ClassLoad::requestsPerSecond, capacity, false, nowNanos);
	}

	Optional<Replica> choose(List<Replica> candidates, ToIntFunction<Replica> inFlight, RandomGenerator random,
			long nowNanos) {
		if (!this.shares.isActive()) {
			return Optional.empty();
		}
		Map<DataCentre, Double> capacity = new TreeMap<>();
		candidates.forEach(
				(replica) -> capacity.merge(replica.dataCentre(), requestsPerSecond(replica, nowNanos), Double::sum));
		WeightedChoice<Replica> choice = WeightedChoice.of(candidates,
				(replica) -> this.shares.shares().getOrDefault(replica.dataCentre(), 0.0)
						* requestsPerSecond(replica, nowNanos) / capacity.get(replica.dataCentre()));
		if (choice.isEmpty()) {
			return Optional.empty();
		}
		Replica first = choice.pick(random.nextDouble());
		Replica second = choice.pick(random.nextDouble());
		return Optional
			.of((expectedWait(second, inFlight, nowNanos) < expectedWait(first, inFlight, nowNanos)) ? second : first);
	}

	private double requestsPerSecond(Replica replica, long nowNanos) {
		double success = this.times.successShare(replica, nowNanos);
		return MAX_FILL * success * success * Math.max(1, replica.slots()) * MILLIS_PER_SECOND
				/ this.times.expectedMillis(replica, nowNanos);
	}

	private double expectedWait(Replica replica, ToIntFunction<Replica> inFlight, long nowNanos) {
		double taken = inFlight.applyAsInt(replica) / (double) Math.max(1, replica.slots());
		return (1 + taken) * this.times.expectedMillis(replica, nowNanos) / this.times.successShare(replica, nowNanos);
	}

}
