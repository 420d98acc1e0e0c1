package org.burdocktray.standins.gateway;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The engines that reach each other. It takes the place of the links between engines.
 * Thread safety: safe from any thread.
 */
public final class LayeredFleet {

	private final Map<String, LayeredEngineStandIn> engines = new ConcurrentHashMap<>();

	void add(LayeredEngineStandIn engine) {
		this.engines.put(engine.address(), engine);
	}

	boolean holds(String address, int from, int to) {
		LayeredEngineStandIn engine = this.engines.get(address);
		return engine != null && engine.holds(from, to);
	}

	boolean isDead(String address) {
		LayeredEngineStandIn engine = this.engines.get(address);
		return engine == null || engine.isDead();
	}

	void ran(String address, String requestId, int event) {
		this.engines.get(address).noteRun(requestId, event);
	}

}
