package org.burdocktray.process.order;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.burdocktray.connection.engine.DesiredState;
import org.burdocktray.version.bundle.Bundle;
import org.burdocktray.version.bundle.Engine;
import org.burdocktray.version.bundle.Model;

/**
 * Engine and the state that the bundle requires of it. Thread safety: immutable.
 *
 * @param engine the engine
 * @param desired the desired state
 */
record OrderTarget(Engine engine, DesiredState desired) {

	/**
	 * Groups the engines of a bundle by model and layers.
	 * @param bundle the bundle
	 * @return the targets by group name
	 */
	static Map<String, List<OrderTarget>> byGroup(Bundle bundle) {
		Map<String, Model> models = bundle.models()
			.stream()
			.collect(Collectors.toMap(Model::name, Function.identity()));
		Map<String, List<OrderTarget>> groups = new LinkedHashMap<>();
		for (Engine engine : bundle.engines()) {
			OrderTarget target = of(engine, models.get(engine.model()));
			groups.computeIfAbsent(groupName(engine), (name) -> new ArrayList<>()).add(target);
		}
		return groups;
	}

	private static OrderTarget of(Engine engine, Model model) {
		return new OrderTarget(engine, new DesiredState(model.name(), model.modelVersion(), engine.adapters(),
				engine.fromLayer(), engine.toLayer(), DesiredState.DECODE));
	}

	private static String groupName(Engine engine) {
		return engine.model() + "-" + engine.fromLayer() + "-" + engine.toLayer();
	}

}
