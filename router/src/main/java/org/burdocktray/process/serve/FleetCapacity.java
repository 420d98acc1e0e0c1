package org.burdocktray.process.serve;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;

import org.burdocktray.process.limits.TargetCapacity;
import org.burdocktray.version.bundle.Model;
import org.burdocktray.version.routing.ModelRoutes;
import org.burdocktray.version.routing.RoutingSnapshot;

/**
 * Computes the capacity of the whole fleet for each model, and caches it for the current
 * routing snapshot. Thread safety: safe for use by multiple threads.
 */
final class FleetCapacity {

	private static final TargetCapacity NO_CAPACITY = new TargetCapacity(0, 0);

	private final CurrentVersion currentVersion;

	private final AtomicReference<CachedCapacities> cache = new AtomicReference<>();

	FleetCapacity(CurrentVersion currentVersion) {
		this.currentVersion = currentVersion;
	}

	TargetCapacity forModel(String model) {
		Optional<PinnedVersion> version = this.currentVersion.get();
		if (version.isEmpty()) {
			return NO_CAPACITY;
		}
		RoutingSnapshot snapshot = version.get().snapshot();
		CachedCapacities current = this.cache.get();
		if (current == null || current.snapshot() != snapshot) {
			current = new CachedCapacities(snapshot, new ConcurrentHashMap<>());
			this.cache.set(current);
		}
		return current.capacities().computeIfAbsent(model, (name) -> compute(snapshot, name));
	}

	private static TargetCapacity compute(RoutingSnapshot snapshot, String modelName) {
		Optional<Model> model = snapshot.model(modelName);
		if (model.isEmpty()) {
			return NO_CAPACITY;
		}
		int streams = TargetCapacity.of(model.get(), snapshot.engines(modelName)).concurrentStreams();
		double tokensPerSecond = snapshot.routes(modelName).map(ModelRoutes::tokensPerSecond).orElse(0.0);
		return new TargetCapacity(streams, tokensPerSecond);
	}

	private record CachedCapacities(RoutingSnapshot snapshot, Map<String, TargetCapacity> capacities) {

	}

}
