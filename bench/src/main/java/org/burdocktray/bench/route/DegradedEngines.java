package org.burdocktray.bench.route;

import java.util.ArrayList;
import java.util.List;

import org.burdocktray.version.bundle.Bundle;
import org.burdocktray.version.bundle.Engine;

/**
 * Reduces the rates of some engines below the rates in the bundle that the policies use.
 * Thread safety: stateless.
 */
final class DegradedEngines {

	private static final int DEGRADED_ENGINE_INTERVAL = 4;

	private static final double RATE_FACTOR = 0.6;

	private DegradedEngines() {
	}

	static Bundle degrade(Bundle bundle) {
		List<Engine> engines = new ArrayList<>();
		for (Engine engine : bundle.engines()) {
			boolean isDegraded = engines.size() % DEGRADED_ENGINE_INTERVAL == 0;
			engines.add((isDegraded) ? withReducedRate(engine) : engine);
		}
		return new Bundle(bundle.version(), bundle.models(), engines, bundle.links(), bundle.services(),
				bundle.organisations(), bundle.operators(), bundle.objectives(), bundle.limits());
	}

	private static Engine withReducedRate(Engine engine) {
		return new Engine(engine.name(), engine.dataCentre(), engine.address(), engine.model(), engine.fromLayer(),
				engine.toLayer(), engine.acceleratorKind(), RATE_FACTOR * engine.tokensPerSecond(),
				engine.maxConcurrentStreams(), engine.adapters(), engine.checksFencing());
	}

}
