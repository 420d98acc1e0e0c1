package org.burdocktray.version.bundle;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Computes how many layers of a model can be executed by a path of linked engines that
 * starts at layer 0 and executes each layer once. Thread safety: immutable.
 *
 * @param engines the engines of all models
 * @param links the links over which activations can be sent
 */
record LayerCoverage(List<Engine> engines, List<Link> links) {

	/**
	 * Returns the end of the longest path of linked engines.
	 * @param model the model
	 * @return the layer after the last reachable layer, 0 if no engine holds layer 0
	 */
	int reachableLayer(Model model) {
		Set<Engine> reached = new HashSet<>();
		List<Engine> inOrder = this.engines.stream()
			.filter((engine) -> engine.model().equals(model.name()))
			.filter((engine) -> engine.fromLayer() < engine.toLayer())
			.sorted(Comparator.comparingInt(Engine::fromLayer))
			.toList();
		for (Engine engine : inOrder) {
			if (engine.fromLayer() == 0 || reached.stream().anyMatch((previous) -> isLinked(previous, engine))) {
				reached.add(engine);
			}
		}
		return reached.stream().mapToInt(Engine::toLayer).max().orElse(0);
	}

	private boolean isLinked(Engine sender, Engine receiver) {
		return sender.toLayer() == receiver.fromLayer() && this.links.stream()
			.anyMatch((link) -> link.from().equals(sender.dataCentre()) && link.to().equals(receiver.dataCentre()));
	}

}
