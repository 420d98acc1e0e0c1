package org.burdocktray.process.serve.gateway;

/**
 * Whether the platform's store is out of reach, found out by one watcher for all others,
 * so that an outage costs the calls of one. Thread safety: none, confined to one event
 * loop.
 */
final class StoreOutage {

	private boolean ongoing;

	boolean isOngoing() {
		return this.ongoing;
	}

	void begin() {
		this.ongoing = true;
	}

	void end() {
		this.ongoing = false;
	}

}
