package org.burdocktray.process.overload;

import java.util.OptionalInt;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The shares of the requests of each priority that are admitted. Invariant: a more urgent
 * priority has no lower share than a less urgent one. Thread safety: immutable.
 */
public final class AdmissionShares {

	private final SortedMap<Integer, Double> shares;

	private final double minShare;

	private AdmissionShares(SortedMap<Integer, Double> shares, double minShare) {
		this.shares = shares;
		this.minShare = minShare;
	}

	/**
	 * Returns the shares with which all requests are admitted.
	 * @return the shares, 1 for all priorities
	 */
	public static AdmissionShares all() {
		return new AdmissionShares(new TreeMap<>(), 1);
	}

	/**
	 * Allocates a limit by priority.
	 * @param loads the loads by priority
	 * @param limit the part of the estimated capacity that is allocated
	 * @param minShare the share of each priority that is admitted in any case
	 * @return the shares
	 */
	static AdmissionShares of(SortedMap<Integer, PriorityLoad> loads, double limit, double minShare) {
		double total = loads.values().stream().mapToDouble(PriorityLoad::utilisation).sum();
		double remaining = Math.max(0, limit - minShare * total);
		SortedMap<Integer, Double> shares = new TreeMap<>();
		for (int priority : loads.keySet()) {
			double wanted = (1 - minShare) * loads.get(priority).utilisation();
			double given = Math.min(remaining, wanted);
			shares.put(priority, (wanted > 0) ? minShare + (1 - minShare) * given / wanted : 1);
			remaining -= given;
		}
		return new AdmissionShares(shares, minShare);
	}

	/**
	 * Returns the share of a priority.
	 * @param priority the priority
	 * @return 0 to 1
	 */
	public double share(int priority) {
		Double known = this.shares.get(priority);
		if (known != null) {
			return known;
		}
		boolean isBelowThreshold = this.shares.headMap(priority).values().stream().anyMatch((share) -> share < 1);
		return isBelowThreshold ? this.minShare : 1;
	}

	/**
	 * Returns whether no more than the minimum share of a priority is admitted.
	 * @param priority the priority
	 * @return false while everything is admitted
	 */
	public boolean isAtMinimum(int priority) {
		double share = share(priority);
		return share < 1 && share <= this.minShare;
	}

	/**
	 * Returns the share of the next more urgent priority with demand.
	 * @param priority the priority
	 * @return 0 to 1, 1 if there is none
	 */
	public double moreUrgentShare(int priority) {
		SortedMap<Integer, Double> moreUrgent = this.shares.headMap(priority);
		return moreUrgent.isEmpty() ? 1 : moreUrgent.get(moreUrgent.lastKey());
	}

	/**
	 * Returns the most urgent priority of which requests are rejected.
	 * @return the priority, empty if all are admitted
	 */
	public OptionalInt threshold() {
		return this.shares.entrySet()
			.stream()
			.filter((entry) -> entry.getValue() < 1)
			.mapToInt(SortedMap.Entry::getKey)
			.findFirst();
	}

}
