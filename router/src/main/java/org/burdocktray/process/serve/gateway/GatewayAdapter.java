package org.burdocktray.process.serve.gateway;

import io.vertx.core.Vertx;
import org.burdocktray.connection.platform.ChangeFeed;
import org.burdocktray.connection.platform.PlatformStore;
import org.burdocktray.process.restore.StoreEras;

/**
 * The parts that communicate with one platform. Thread safety: that of its parts, which
 * are used on one event loop.
 *
 * @param headers reads and writes HTTP headers
 * @param objects decodes the platform's objects
 * @param store reads and writes objects of the gateway's own kinds
 * @param feed lists objects and returns their changes
 * @param hintFeed the same, but what it returns may be seconds old, at a lower cost
 * @param eras the eras of the store, as its answers show them
 * @param engineControl requests load reports from engines and sends them orders
 */
public record GatewayAdapter(HeaderCodec headers, ObjectCodec objects, PlatformStore store, ChangeFeed feed,
		ChangeFeed hintFeed, StoreEras eras, EngineControl engineControl) {

	/**
	 * Returns an adapter with other feeds.
	 * @param nextFeed lists objects and returns their changes
	 * @param nextHintFeed the same for what may be old
	 * @return the adapter
	 */
	GatewayAdapter withFeeds(ChangeFeed nextFeed, ChangeFeed nextHintFeed) {
		return new GatewayAdapter(this.headers, this.objects, this.store, nextFeed, nextHintFeed, this.eras,
				this.engineControl);
	}

	/**
	 * Creates the adapter of a process.
	 */
	public interface Factory {

		/**
		 * Creates an adapter.
		 * @param vertx runs the event loop
		 * @param settings the settings of the process
		 * @return the adapter
		 */
		GatewayAdapter create(Vertx vertx, GatewaySettings settings);

	}

}
