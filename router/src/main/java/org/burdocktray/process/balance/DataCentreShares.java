package org.burdocktray.process.balance;

import java.util.LinkedHashMap;
import java.util.Map;

import org.burdocktray.model.DataCentre;

/**
 * Decides which data centres serve the requests of the VMs of one data centre. A data
 * centre keeps its requests until it is utilised as highly as the fleet is on average, or
 * up to a limit if that is higher; it sends away what is beyond, in proportion to what
 * the others have free. Shares change continuously with demand, so that they neither jump
 * nor flap at the margin. Invariants: the shares are 0 or more and add up to 1 if any
 * data centre has capacity. Thread safety: stateless.
 */
final class DataCentreShares {

	/**
	 * The utilisation from which requests of a data centre miss targets. Capacities leave
	 * room for random arrivals ({@link PassTimes}), so it is above 1.
	 */
	private static final double FULL_UTILISATION = 1.5;

	/** Keeps data centres with the mean utilisation from exchanging requests. */
	private static final double MEAN_MARGIN = 1.03;

	private DataCentreShares() {
	}

	/**
	 * Computes the shares of the data centres in the requests of one of them.
	 * @param local the data centre whose requests are divided
	 * @param demand the requests per second by data centre
	 * @param capacity the requests per second that the engines of a data centre bear
	 * @return the shares by data centre, without those of 0; empty without any capacity
	 */
	static Map<DataCentre, Double> compute(DataCentre local, Map<DataCentre, Double> demand,
			Map<DataCentre, Double> capacity) {
		double totalCapacity = capacity.values().stream().mapToDouble(Double::doubleValue).sum();
		if (totalCapacity <= 0) {
			return Map.of();
		}
		double totalDemand = demand.values().stream().mapToDouble(Double::doubleValue).sum();
		double mean = MEAN_MARGIN * totalDemand / totalCapacity;
		double utilisation = Math.max(mean, (mean + FULL_UTILISATION) / 2);
		double localDemand = demand.getOrDefault(local, 0.0);
		double localRoom = utilisation * capacity.getOrDefault(local, 0.0);
		double kept = (localRoom <= 0) ? 0 : Math.min(1, localRoom / Math.max(1e-9, localDemand));
		Map<DataCentre, Double> free = new LinkedHashMap<>();
		capacity.forEach((dataCentre, rate) -> {
			double room = utilisation * rate - demand.getOrDefault(dataCentre, 0.0);
			if (!dataCentre.equals(local) && room > 0) {
				free.put(dataCentre, room);
			}
		});
		double totalFree = free.values().stream().mapToDouble(Double::doubleValue).sum();
		if (totalFree <= 0 && kept > 0) {
			return Map.of(local, 1.0);
		}
		Map<DataCentre, Double> shares = new LinkedHashMap<>();
		if (kept > 0) {
			shares.put(local, kept);
		}
		if (kept < 1) {
			Map<DataCentre, Double> receivers = (totalFree > 0) ? free : capacity;
			double total = receivers.values().stream().mapToDouble(Double::doubleValue).sum();
			receivers.forEach((dataCentre, room) -> {
				if (room > 0) {
					shares.merge(dataCentre, (1 - kept) * room / total, Double::sum);
				}
			});
		}
		return shares;
	}

}
