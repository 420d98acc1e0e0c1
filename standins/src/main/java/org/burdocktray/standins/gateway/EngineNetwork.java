package org.burdocktray.standins.gateway;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The engines that can reach each other, in place of network links between engines.
 * Thread safety: thread-safe.
 */
public final class EngineNetwork {

	private final Map<String, LayeredEngineStandIn> engines = new ConcurrentHashMap<>();

	private volatile boolean endingFirstStages;

	/**
	 * Sets which engine of a path a request ends that ends replicas.
	 * @param isFirst true for the first engine, false for the last one
	 */
	public void setEndingFirstStages(boolean isFirst) {
		this.endingFirstStages = isFirst;
	}

	/**
	 * Adds another address under which an engine is reached.
	 * @param address the address, as IP address and port separated by a colon
	 * @param engine the engine
	 */
	public void addAddress(String address, LayeredEngineStandIn engine) {
		this.engines.put(address, engine);
	}

	void endOneOf(List<String> path, String requestId) {
		this.engines.get(path.get(this.endingFirstStages ? 0 : path.size() - 1)).endBecauseOfRequest(requestId);
	}

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

	boolean isSilent(String address) {
		LayeredEngineStandIn engine = this.engines.get(address);
		return engine != null && engine.isSilent();
	}

	void recordEvent(String address, String requestId, int event) {
		this.engines.get(address).recordEvent(requestId, event);
	}

}
