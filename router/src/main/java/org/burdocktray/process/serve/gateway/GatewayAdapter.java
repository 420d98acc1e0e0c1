package org.burdocktray.process.serve.gateway;

import io.vertx.core.Vertx;
import org.burdocktray.connection.platform.ChangeFeed;
import org.burdocktray.connection.platform.PlatformStore;

/**
 * What speaks with one platform. Thread safety: that of its parts; used on one event
 * loop.
 *
 * @param headers reads and writes headers
 * @param objects reads the platform's objects
 * @param store reads and writes objects of the gateway's own kinds
 * @param feed follows objects
 * @param engineControl asks engines and gives them orders
 */
public record GatewayAdapter(HeaderCodec headers, ObjectCodec objects, PlatformStore store, ChangeFeed feed,
		EngineControl engineControl) {

	/**
	 * Makes an adapter for a process.
	 */
	public interface Factory {

		/**
		 * Makes an adapter.
		 * @param vertx the event loop
		 * @param settings the settings of the process
		 * @return the adapter
		 */
		GatewayAdapter create(Vertx vertx, GatewaySettings settings);

	}

}
