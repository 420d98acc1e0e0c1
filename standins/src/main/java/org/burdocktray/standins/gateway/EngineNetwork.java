package org.burdocktray.standins.gateway;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The engines that can reach each other, in place of network links between engines.
 * Thread safety: thread-safe.
 */
public final class EngineNetwork {

	private final Map<String, LayeredEngineStandIn> engines = new ConcurrentHashMap<>();

	void add(LayeredEngineStandIn engine) {
		this.engines.put(engine.address(), engine);
	}

	boolean hasLayers(String address, int fromLayer, int toLayer) {
		LayeredEngineStandIn engine = this.engines.get(address);
		return engine != null && engine.hasLayers(fromLayer, toLayer);
	}

	boolean hasFailed(String address) {
		LayeredEngineStandIn engine = this.engines.get(address);
		return engine == null || engine.hasFailed();
	}

	void recordEvent(String address, String requestId, int event) {
		this.engines.get(address).recordEvent(requestId, event);
	}

}
