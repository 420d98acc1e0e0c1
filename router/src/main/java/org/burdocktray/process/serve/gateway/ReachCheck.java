package org.burdocktray.process.serve.gateway;

import java.util.List;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import org.burdocktray.process.directory.Replica;

/**
 * One try at connections to some replicas, which are closed at once: first to one, and to
 * the others only if that one does not accept soon. Thread safety: none, confined to one
 * event loop.
 */
final class ReachCheck {

	/** More than a round trip within a region. */
	private static final long FIRST_REPLICA_MILLIS = 60;

	private final Vertx vertx;

	private final NetClient client;

	private final List<Replica> replicas;

	private final Promise<Boolean> result = Promise.promise();

	private boolean triesAll;

	private int failures;

	/**
	 * Creates a check that has not started.
	 * @param vertx runs its timer
	 * @param client opens the connections
	 * @param replicas the replicas, at least one
	 */
	ReachCheck(Vertx vertx, NetClient client, List<Replica> replicas) {
		this.vertx = vertx;
		this.client = client;
		this.replicas = replicas;
	}

	/**
	 * Starts the check.
	 * @return whether any of the replicas has accepted a connection; fails if none can be
	 * opened because this VM stops
	 */
	Future<Boolean> start() {
		connect(this.replicas.get(0));
		if (!this.result.future().failed()) {
			this.vertx.setTimer(FIRST_REPLICA_MILLIS, (timer) -> tryAll());
		}
		return this.result.future();
	}

	private void tryAll() {
		if (this.triesAll || this.result.future().isComplete()) {
			return;
		}
		this.triesAll = true;
		this.replicas.subList(1, this.replicas.size()).forEach(this::connect);
	}

	private void connect(Replica replica) {
		try {
			this.client.connect(replica.address().port(), replica.address().ip())
				.onSuccess(NetSocket::close)
				.onSuccess((connected) -> this.result.tryComplete(true))
				.onFailure((cause) -> onFailure());
		}
		// The client throws once it has been closed.
		catch (IllegalStateException ex) {
			this.result.tryFail(ex);
		}
	}

	private void onFailure() {
		this.failures++;
		tryAll();
		if (this.failures == this.replicas.size()) {
			this.result.tryComplete(false);
		}
	}

}
