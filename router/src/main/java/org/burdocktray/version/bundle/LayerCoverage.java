package org.burdocktray.version.bundle;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Finds how far engines can take a model, from layer 0 upward, each layer once. Thread
 * safety: immutable.
 *
 * @param engines the engines of all models
 * @param links the links that activations may take
 */
record LayerCoverage(List<Engine> engines, List<Link> links) {

	/**
	 * Returns the layer that the longest path of linked engines ends at.
	 * @param model the model
	 * @return the layer after the last one reached
	 */
	int reachableLayer(Model model) {
		Set<Engine> reached = new HashSet<>();
		List<Engine> inOrder = this.engines.stream()
			.filter((engine) -> engine.model().equals(model.name()))
			.filter((engine) -> engine.fromLayer() < engine.toLayer())
			.sorted(Comparator.comparingInt(Engine::fromLayer))
			.toList();
		for (Engine engine : inOrder) {
			if (engine.fromLayer() == 0 || reached.stream().anyMatch((before) -> isLinked(before, engine))) {
				reached.add(engine);
			}
		}
		return reached.stream().mapToInt(Engine::toLayer).max().orElse(0);
	}

	private boolean isLinked(Engine before, Engine after) {
		return before.toLayer() == after.fromLayer() && this.links.stream()
			.anyMatch((link) -> link.from().equals(before.dataCentre()) && link.to().equals(after.dataCentre()));
	}

}
