package org.burdocktray.request.path;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.burdocktray.process.directory.LayerRange;
import org.burdocktray.process.directory.Replica;

/**
 * The engines that a request passes through. Invariant: the stages run every layer of the
 * model once and in order, and no engine occurs twice. Thread safety: immutable.
 *
 * @param stages the stages, from the first layer to the last
 */
public record LayerPath(List<PathStage> stages) {

	public LayerPath {
		stages = List.copyOf(stages);
		Set<String> engines = new HashSet<>();
		int nextLayer = 0;
		for (PathStage stage : stages) {
			boolean isHeld = stage.replica()
				.layers()
				.filter((held) -> held.from() <= stage.layers().from() && held.to() >= stage.layers().to())
				.isPresent();
			if (stage.layers().from() != nextLayer || !isHeld || !engines.add(stage.replica().id())) {
				throw new IllegalArgumentException(
						"stages do not run each layer once, in order and on distinct engines: " + stages);
			}
			nextLayer = stage.layers().to();
		}
		if (nextLayer == 0) {
			throw new IllegalArgumentException("a path needs at least one stage");
		}
	}

	/**
	 * Returns the engine that the request is sent to.
	 * @return the engine of the first stage
	 */
	public Replica head() {
		return this.stages.get(0).replica();
	}

	/**
	 * Returns the number of layers that the path runs.
	 * @return the number of layers
	 */
	public int layerCount() {
		return this.stages.stream().map(PathStage::layers).mapToInt(LayerRange::size).sum();
	}

	/**
	 * Returns whether the request passes through an engine.
	 * @param replica the engine
	 * @return true if a stage runs on the same start of this engine
	 */
	public boolean contains(Replica replica) {
		return this.stages.stream().anyMatch((stage) -> stage.replica().isSameInstance(replica));
	}

}
