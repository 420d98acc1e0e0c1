package org.burdocktray.process.serve.gateway;

import java.util.List;
import java.util.Optional;

import org.burdocktray.process.directory.Replica;
import org.burdocktray.process.directory.ReplicaLoads;
import org.burdocktray.request.path.LayerPath;
import org.burdocktray.request.path.PathStage;

/**
 * The destination of one attempt. Thread safety: immutable.
 *
 * @param replica the replica to which the request is sent, or the VM that relays it
 * @param path the layer path of the request, empty unless the replica is an engine
 * @param tokens the number of tokens that the request keeps in the KV cache of engines
 * @param isRelay whether the request is sent to a VM that relays it to a replica
 * @param isForPressure whether it is relayed because this VM is under pressure, not cut
 * off
 */
record Target(Replica replica, Optional<LayerPath> path, int tokens, boolean isRelay, boolean isForPressure) {

	Target(Replica replica, Optional<LayerPath> path, int tokens) {
		this(replica, path, tokens, false, false);
	}

	/**
	 * Returns a target that is reached through another VM.
	 * @param vm the VM, as the replica that takes its place
	 * @return the target
	 */
	static Target throughVm(Replica vm) {
		return new Target(vm, Optional.empty(), 0, true, false);
	}

	/**
	 * Returns a target to which this VM hands a request under pressure.
	 * @param vm the VM, as the replica that takes its place
	 * @return the target
	 */
	static Target forPressure(Replica vm) {
		return new Target(vm, Optional.empty(), 0, true, true);
	}

	void recordSend(ReplicaLoads loads) {
		long nowNanos = System.nanoTime();
		if (this.path.isEmpty()) {
			loads.recordSend(this.replica, 0, nowNanos);
			return;
		}
		stages().forEach((stage) -> loads.recordSend(stage.replica(), tokenLayers(stage), nowNanos));
	}

	void recordEnd(ReplicaLoads loads) {
		if (this.path.isEmpty()) {
			loads.recordEnd(this.replica, 0);
			return;
		}
		stages().forEach((stage) -> loads.recordEnd(stage.replica(), tokenLayers(stage)));
	}

	boolean contains(Replica engine) {
		return this.path.map((layerPath) -> layerPath.contains(engine)).orElse(this.replica.isSameInstance(engine));
	}

	List<Replica> replicas() {
		return this.path.map((layerPath) -> layerPath.stages().stream().map(PathStage::replica).toList())
			.orElse(List.of(this.replica));
	}

	private List<PathStage> stages() {
		return this.path.map(LayerPath::stages).orElse(List.of());
	}

	private long tokenLayers(PathStage stage) {
		return (long) this.tokens * stage.layers().size();
	}

}
