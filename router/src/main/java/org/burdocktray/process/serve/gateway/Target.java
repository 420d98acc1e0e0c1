package org.burdocktray.process.serve.gateway;

import java.util.List;
import java.util.Optional;

import org.burdocktray.process.directory.Replica;
import org.burdocktray.process.directory.ReplicaLoads;
import org.burdocktray.request.path.LayerPath;
import org.burdocktray.request.path.PathStage;

/**
 * Where one attempt goes. Thread safety: immutable.
 *
 * @param replica the replica that the request is sent to
 * @param path the engines it passes through, for engines
 * @param tokens the tokens that it keeps in the KV cache, for engines
 */
record Target(Replica replica, Optional<LayerPath> path, int tokens) {

	void recordSend(ReplicaLoads loads) {
		long nowNanos = System.nanoTime();
		if (this.path.isEmpty()) {
			loads.recordSend(this.replica, 0, nowNanos);
			return;
		}
		parts().forEach((part) -> loads.recordSend(part.replica(), tokenLayers(part), nowNanos));
	}

	void recordEnd(ReplicaLoads loads) {
		if (this.path.isEmpty()) {
			loads.recordEnd(this.replica, 0);
			return;
		}
		parts().forEach((part) -> loads.recordEnd(part.replica(), tokenLayers(part)));
	}

	boolean contains(Replica engine) {
		return this.path.map((held) -> held.contains(engine)).orElse(this.replica.isSameInstance(engine));
	}

	List<Replica> replicas() {
		return this.path.map((held) -> held.stages().stream().map(PathStage::replica).toList())
			.orElse(List.of(this.replica));
	}

	private List<PathStage> parts() {
		return this.path.map(LayerPath::stages).orElse(List.of());
	}

	private long tokenLayers(PathStage part) {
		return (long) this.tokens * part.layers().size();
	}

}
