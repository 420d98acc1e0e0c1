package org.burdocktray.process.quarantine;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;

/**
 * The suspects that a VM remembers. Invariant: after {@link #evict(long)} there are not
 * more requests than the limit, nor more parts of prompts; those with the least suspicion
 * go first. Thread safety: none.
 */
final class SuspectTable {

	private final int maxEntries;

	private final Map<Fingerprint, Suspect> requests = new LinkedHashMap<>();

	private final Map<Fingerprint, Suspect> parts = new LinkedHashMap<>();

	SuspectTable(int maxEntries) {
		this.maxEntries = maxEntries;
	}

	Optional<Suspect> find(Fingerprint fingerprint) {
		return Optional.ofNullable(entries(fingerprint).get(fingerprint));
	}

	/**
	 * Returns a suspect that has not expired.
	 * @param fingerprint the request or part
	 * @param nowNanos the time
	 * @return the suspect, empty if there is none
	 */
	Optional<Suspect> findCurrent(Fingerprint fingerprint, long nowNanos) {
		return find(fingerprint).filter((suspect) -> suspect.expiresAtNanos() - nowNanos > 0);
	}

	Suspect findOrAdd(Fingerprint fingerprint, long nowNanos) {
		return entries(fingerprint).computeIfAbsent(fingerprint,
				(absent) -> new Suspect(ConvictionRule.of(fingerprint), nowNanos));
	}

	boolean isSuspected(Fingerprint fingerprint) {
		return find(fingerprint).filter(Suspect::isSuspected).isPresent();
	}

	void forEach(BiConsumer<Fingerprint, Suspect> action) {
		this.requests.forEach(action);
		this.parts.forEach(action);
	}

	void forEachPart(BiConsumer<Fingerprint, Suspect> action) {
		this.parts.forEach(action);
	}

	void removeExpired(long nowNanos) {
		this.requests.values().removeIf((suspect) -> suspect.expiresAtNanos() - nowNanos <= 0);
		this.parts.values().removeIf((suspect) -> suspect.expiresAtNanos() - nowNanos <= 0);
	}

	/**
	 * Removes expired entries, and further ones until the limit holds.
	 * @param nowNanos the time
	 */
	void evict(long nowNanos) {
		removeExpired(nowNanos);
		evict(this.requests);
		evict(this.parts);
	}

	private void evict(Map<Fingerprint, Suspect> entries) {
		int excess = entries.size() - this.maxEntries;
		if (excess <= 0) {
			return;
		}
		entries.entrySet()
			.stream()
			.map((entry) -> new Ranked(entry.getKey(), entry.getValue().score(), entry.getValue().expiresAtNanos()))
			.sorted(Comparator.comparingDouble(Ranked::score).thenComparingLong(Ranked::expiresAtNanos))
			.limit(excess)
			.forEach((ranked) -> entries.remove(ranked.fingerprint()));
	}

	private Map<Fingerprint, Suspect> entries(Fingerprint fingerprint) {
		return fingerprint.isPart() ? this.parts : this.requests;
	}

	/** A suspect with what decides how long it stays. Thread safety: immutable. */
	private record Ranked(Fingerprint fingerprint, double score, long expiresAtNanos) {

	}

}
