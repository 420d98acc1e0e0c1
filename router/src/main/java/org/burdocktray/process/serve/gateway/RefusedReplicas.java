package org.burdocktray.process.serve.gateway;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

import io.vertx.core.Vertx;
import org.burdocktray.process.directory.Replica;

/**
 * Puts off the verdict on replicas that refuse connections: where the links of this VM
 * fail one after the other, the first ones look like replicas that have ended. Invariant:
 * one verdict at a time for each replica. Thread safety: none, confined to one event
 * loop.
 */
final class RefusedReplicas {

	/** The time within which it is found that this VM is cut off. */
	private static final long VERDICT_MILLIS = 2_500;

	private final Vertx vertx;

	private final Set<String> pending = new HashSet<>();

	RefusedReplicas(Vertx vertx) {
		this.vertx = vertx;
	}

	/**
	 * Adds a replica that refuses connections, unless its verdict is pending already.
	 * @param replica the replica
	 * @param onVerdict is called when this VM would know if it were cut off
	 */
	void add(Replica replica, Consumer<Replica> onVerdict) {
		String name = UpstreamNames.of(replica);
		if (!this.pending.add(name)) {
			return;
		}
		this.vertx.setTimer(VERDICT_MILLIS, (timer) -> {
			this.pending.remove(name);
			onVerdict.accept(replica);
		});
	}

}
