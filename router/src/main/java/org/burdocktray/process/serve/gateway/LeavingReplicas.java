package org.burdocktray.process.serve.gateway;

import java.util.List;

import io.vertx.core.Vertx;
import org.burdocktray.connection.peer.generated.LeavingReplica;
import org.burdocktray.connection.peer.generated.SharedLoads;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.process.directory.ReplicaDirectory;
import org.jboss.logging.Logger;

/**
 * Records the replicas that say in their responses that they leave, and tells the other
 * VMs, in datagrams that may be lost. Thread safety: none, confined to one event loop.
 */
final class LeavingReplicas {

	private static final Logger LOGGER = Logger.getLogger(LeavingReplicas.class);

	/** Datagrams may be lost, so each is sent twice. */
	private static final long REPEAT_MILLIS = 100;

	private final Vertx vertx;

	private final ReplicaDirectory directory;

	private final VmDatagrams datagrams;

	private final GatewayMetrics metrics;

	LeavingReplicas(Vertx vertx, ReplicaDirectory directory, VmDatagrams datagrams, GatewayMetrics metrics) {
		this.vertx = vertx;
		this.directory = directory;
		this.datagrams = datagrams;
		this.metrics = metrics;
	}

	/**
	 * Records that a replica has said that it leaves.
	 * @param replica the replica
	 */
	void record(Replica replica) {
		if (!this.directory.markLeaving(replica.id(), replica.startedAtMillis())) {
			return;
		}
		logLeaving(replica.id(), replica.startedAtMillis(), "response");
		SharedLoads message = SharedLoads.newBuilder()
			.addLeaving(LeavingReplica.newBuilder().setReplica(replica.id()).setBornMillis(replica.startedAtMillis()))
			.build();
		this.datagrams.sendToAll(message);
		this.vertx.setTimer(REPEAT_MILLIS, (timer) -> this.datagrams.sendToAll(message));
	}

	/**
	 * Records what another VM has heard.
	 * @param replicas the replicas that leave
	 */
	void receive(List<LeavingReplica> replicas) {
		for (LeavingReplica replica : replicas) {
			if (this.directory.markLeaving(replica.getReplica(), replica.getBornMillis())) {
				logLeaving(replica.getReplica(), replica.getBornMillis(), "other VM");
			}
		}
	}

	private void logLeaving(String id, long startedAtMillis, String source) {
		this.metrics.recordLeavingReplica();
		LOGGER.infof("Replica leaves: replica=%s started=%d source=%s", id, startedAtMillis, source);
	}

}
