package org.burdocktray.process.quarantine;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The entries that a VM has changed and has yet to tell the others, by gossip or through
 * the platform's store. Thread safety: none.
 */
final class EntryOutbox {

	private final SuspectTable suspects;

	private final boolean storesSuspects;

	private final Set<Fingerprint> toGossip = new LinkedHashSet<>();

	/** The times from which entries may be written. */
	private final Map<Fingerprint, Long> toStore = new LinkedHashMap<>();

	/**
	 * Creates an empty outbox.
	 * @param suspects the entries
	 * @param storesSuspects whether suspects are stored as well as quarantined requests,
	 * for VMs without gossip
	 */
	EntryOutbox(SuspectTable suspects, boolean storesSuspects) {
		this.suspects = suspects;
		this.storesSuspects = storesSuspects;
	}

	void addToGossip(Fingerprint fingerprint) {
		if (!this.storesSuspects) {
			this.toGossip.add(fingerprint);
		}
	}

	List<Fingerprint> takeForGossip() {
		List<Fingerprint> taken = List.copyOf(this.toGossip);
		this.toGossip.clear();
		return taken;
	}

	void addToStore(Fingerprint fingerprint, long dueNanos) {
		this.toStore.put(fingerprint, dueNanos);
	}

	/**
	 * Makes an entry due that waits to be stored.
	 * @param fingerprint the request
	 * @param nowNanos the time
	 */
	void hasten(Fingerprint fingerprint, long nowNanos) {
		this.toStore.computeIfPresent(fingerprint, (key, dueNanos) -> nowNanos);
	}

	/**
	 * Takes entries that are due and worth storing, those with most crashes first.
	 * @param limit the maximum number of entries
	 * @param isSettled whether an entry will not change soon
	 * @param nowNanos the time
	 * @return the entries
	 */
	List<Fingerprint> takeForStore(int limit, Predicate<Fingerprint> isSettled, long nowNanos) {
		List<Fingerprint> taken = findDue(limit, isSettled, nowNanos);
		taken.forEach(this.toStore::remove);
		return taken;
	}

	/**
	 * Returns entries that {@link #takeForStore} would take, without taking them.
	 * @param limit the maximum number of entries
	 * @param condition which entries
	 * @param nowNanos the time
	 * @return the entries, those with most crashes first
	 */
	List<Fingerprint> findDue(int limit, Predicate<Fingerprint> condition, long nowNanos) {
		this.toStore.keySet().removeIf((fingerprint) -> !isWorthStoring(fingerprint));
		return this.toStore.entrySet()
			.stream()
			.filter((entry) -> entry.getValue() - nowNanos <= 0)
			.map(Map.Entry::getKey)
			.filter(condition)
			.sorted(Comparator.comparingInt(this::crashCount).reversed())
			.limit(limit)
			.toList();
	}

	boolean isWorthStoring(Fingerprint fingerprint) {
		return this.suspects.find(fingerprint).filter(this::isWorthStoring).isPresent();
	}

	private boolean isWorthStoring(Suspect suspect) {
		boolean isSuspected = this.storesSuspects ? suspect.isSuspected() : suspect.isQuarantined();
		return isSuspected || suspect.isStored();
	}

	private int crashCount(Fingerprint fingerprint) {
		return this.suspects.find(fingerprint).map((suspect) -> suspect.countedCrashes().size()).orElse(0);
	}

}
