package org.burdocktray.process.bundle;

import java.util.LinkedHashMap;
import java.util.Map;

import org.burdocktray.model.NetworkAddress;

/**
 * Tracks refused bundles and the peers that sent them, so that each refusal is logged
 * once and such a peer is not queried for some time. Invariant: bounded in size. Thread
 * safety: none.
 */
final class RefusedBundles {

	private static final int MAX_ENTRIES = 1_024;

	private final Map<String, Boolean> reported = boundedMap();

	private final Map<NetworkAddress, Long> suspectUntilNanos = boundedMap();

	/**
	 * Records a refusal.
	 * @param source the source of the bundle
	 * @param reason the reason for the refusal
	 * @return whether this is the first refusal with this source and reason
	 */
	boolean recordRefusal(String source, String reason) {
		return this.reported.put(source + ": " + reason, true) == null;
	}

	void markSuspect(NetworkAddress peer, long untilNanos) {
		this.suspectUntilNanos.put(peer, untilNanos);
	}

	boolean isSuspect(NetworkAddress peer, long nowNanos) {
		Long untilNanos = this.suspectUntilNanos.get(peer);
		return untilNanos != null && nowNanos - untilNanos < 0;
	}

	private static <K, V> Map<K, V> boundedMap() {
		return new LinkedHashMap<>() {

			@Override
			protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
				return size() > MAX_ENTRIES;
			}

		};
	}

}
