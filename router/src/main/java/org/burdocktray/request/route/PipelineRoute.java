package org.burdocktray.request.route;

import java.util.List;

import org.burdocktray.version.bundle.Engine;

/**
 * The engines that serve one request, in the order of their layers. Invariant: they cover
 * the layers from 0 to the last layer of the model exactly once. Thread safety:
 * immutable.
 *
 * @param model the name of the model
 * @param stages the engines in the order of their layers
 */
public record PipelineRoute(String model, List<Engine> stages) {

	public PipelineRoute {
		stages = List.copyOf(stages);
		if (stages.isEmpty()) {
			throw new IllegalArgumentException("a route needs at least one stage");
		}
		int nextLayer = 0;
		for (Engine stage : stages) {
			if (stage.fromLayer() != nextLayer) {
				throw new IllegalArgumentException(
						"stage " + stage.name() + " starts at layer " + stage.fromLayer() + ", expected " + nextLayer);
			}
			nextLayer = stage.toLayer();
		}
	}

}
