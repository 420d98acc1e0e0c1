package org.burdocktray.standins.gateway;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The engines that reach each other. It takes the place of the links between engines.
 * Thread safety: safe from any thread.
 */
public final class EngineNetwork {

	private final Map<String, LayeredEngineStandIn> engines = new ConcurrentHashMap<>();

	void add(LayeredEngineStandIn engine) {
		this.engines.put(engine.address(), engine);
	}

	boolean hasLayers(String address, int from, int to) {
		LayeredEngineStandIn engine = this.engines.get(address);
		return engine != null && engine.hasLayers(from, to);
	}

	boolean hasFailed(String address) {
		LayeredEngineStandIn engine = this.engines.get(address);
		return engine == null || engine.hasFailed();
	}

	void recordEvent(String address, String requestId, int event) {
		this.engines.get(address).recordEvent(requestId, event);
	}

}
