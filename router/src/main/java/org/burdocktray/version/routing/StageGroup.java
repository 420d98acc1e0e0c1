package org.burdocktray.version.routing;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.burdocktray.model.DataCentre;
import org.burdocktray.version.bundle.Engine;

/**
 * The engines of one model that hold the same layers in the same data centre. They are
 * equivalent for the flow, so that a group is a single node whose rate is the sum of the
 * engines' rates. Thread safety: immutable.
 *
 * @param dataCentre the data centre of the engines
 * @param fromLayer the first layer that the engines hold
 * @param toLayer the layer after the last one that the engines hold
 * @param engines the engines, in the order of the bundle
 * @param tokensPerSecond the sum of the engines' rates
 */
public record StageGroup(DataCentre dataCentre, int fromLayer, int toLayer, List<Engine> engines,
		double tokensPerSecond) {

	public StageGroup {
		engines = List.copyOf(engines);
	}

	/**
	 * Groups engines by data centre and layers.
	 * @param engines the engines of one model
	 * @return the groups, in the order of their first engines
	 */
	static List<StageGroup> group(List<Engine> engines) {
		Map<Key, List<Engine>> byKey = new LinkedHashMap<>();
		for (Engine engine : engines) {
			Key key = new Key(engine.dataCentre(), engine.fromLayer(), engine.toLayer());
			byKey.computeIfAbsent(key, (ignored) -> new ArrayList<>()).add(engine);
		}
		return byKey.values().stream().map(StageGroup::of).toList();
	}

	private static StageGroup of(List<Engine> engines) {
		Engine first = engines.get(0);
		double tokensPerSecond = engines.stream().mapToDouble(Engine::tokensPerSecond).sum();
		return new StageGroup(first.dataCentre(), first.fromLayer(), first.toLayer(), engines, tokensPerSecond);
	}

	private record Key(DataCentre dataCentre, int fromLayer, int toLayer) {

	}

}
