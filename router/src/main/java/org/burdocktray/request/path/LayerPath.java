package org.burdocktray.request.path;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.burdocktray.process.directory.LayerRange;
import org.burdocktray.process.directory.Replica;

/**
 * The engines that a request passes through. Invariant: the parts run every layer of the
 * model once and in order, and no engine stands in it twice. Thread safety: immutable.
 *
 * @param stages the parts, from the first layer to the last
 */
public record LayerPath(List<PathStage> stages) {

	public LayerPath {
		stages = List.copyOf(stages);
		Set<String> engines = new HashSet<>();
		int next = 0;
		for (PathStage part : stages) {
			boolean isHeld = part.replica()
				.layers()
				.filter((held) -> held.from() <= part.layers().from() && held.to() >= part.layers().to())
				.isPresent();
			if (part.layers().from() != next || !isHeld || !engines.add(part.replica().id())) {
				throw new IllegalArgumentException("layers are not run once and in order: " + stages);
			}
			next = part.layers().to();
		}
		if (next == 0) {
			throw new IllegalArgumentException("a path needs an engine");
		}
	}

	/**
	 * Returns the engine that the request is sent to.
	 * @return the first engine
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
	 * Tells whether the request passes through an engine.
	 * @param replica the engine
	 * @return whether it does
	 */
	public boolean contains(Replica replica) {
		return this.stages.stream().anyMatch((part) -> part.replica().isSameInstance(replica));
	}

}
