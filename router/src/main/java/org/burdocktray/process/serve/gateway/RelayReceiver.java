package org.burdocktray.process.serve.gateway;

import java.util.Optional;
import java.util.function.BooleanSupplier;

import io.vertx.core.http.HttpServerRequest;
import org.burdocktray.connection.peer.generated.RelayOffer;
import org.burdocktray.connection.peer.generated.SharedLoads;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.process.limits.RelayLimit;
import org.jboss.logging.Logger;

/**
 * Accepts requests that other VMs relay because they reach no replica. Invariants: a
 * request without the key of the VMs is not run; a relayed request is not relayed again;
 * requests beyond the limit are declined. Thread safety: none, confined to one event
 * loop.
 */
final class RelayReceiver {

	private static final Logger LOGGER = Logger.getLogger(RelayReceiver.class);

	private static final int FORBIDDEN = 403;

	private static final int BAD_REQUEST = 400;

	private static final int SERVICE_UNAVAILABLE = 503;

	private final RelayKey key;

	private final RelayLimit limit;

	private final ReachMonitor reach;

	private final VmDatagrams datagrams;

	private final GatewayRequestHandler requestHandler;

	private final BooleanSupplier ready;

	private final GatewayMetrics metrics;

	/**
	 * Creates a receiver.
	 * @param key the key of the VMs
	 * @param limit bounds the relayed requests
	 * @param reach knows whether this VM reaches replicas
	 * @param datagrams sends offers
	 * @param requestHandler handles the accepted requests
	 * @param ready whether this VM is ready for requests of other VMs
	 * @param metrics counts the requests
	 */
	RelayReceiver(RelayKey key, RelayLimit limit, ReachMonitor reach, VmDatagrams datagrams,
			GatewayRequestHandler requestHandler, BooleanSupplier ready, GatewayMetrics metrics) {
		this.key = key;
		this.limit = limit;
		this.reach = reach;
		this.datagrams = datagrams;
		this.requestHandler = requestHandler;
		this.ready = ready;
		this.metrics = metrics;
	}

	/**
	 * Offers to relay, if this VM can.
	 * @param sender the address of the VM that asks
	 */
	void offer(NetworkAddress sender) {
		if (!canRelay()) {
			return;
		}
		RelayOffer offer = RelayOffer.newBuilder().setInProgress(this.limit.inProgress()).build();
		this.datagrams.sendTo(SharedLoads.newBuilder().setRelayOffer(offer).build(), sender);
	}

	void handle(HttpServerRequest request) {
		if (!this.key.matches(RelayHeaders.readKey(request.headers()))) {
			this.metrics.recordRelay("received", "forbidden");
			LOGGER.debugf("Request of a stranger: from=%s", request.remoteAddress());
			request.response().putHeader("Connection", "close").setStatusCode(FORBIDDEN).end();
			return;
		}
		Optional<RelayHeaders.RelayedRequest> relayed = RelayHeaders.read(request.headers());
		if (relayed.isEmpty()) {
			this.metrics.recordRelay("received", "invalid");
			request.response().setStatusCode(BAD_REQUEST).end();
			return;
		}
		if (!canRelay() || !this.requestHandler.hasRules(relayed.get().rulesVersion())) {
			this.metrics.recordRelay("received", "declined");
			RelayHeaders.writeDeclined(true, request.response().headers());
			request.response().setStatusCode(SERVICE_UNAVAILABLE).end();
			return;
		}
		this.metrics.recordRelay("received", "accepted");
		RelayHeaders.remove(request.headers());
		this.limit.recordStart();
		this.requestHandler.handleRelayed(request, relayed.get(), this.limit::recordEnd);
	}

	private boolean canRelay() {
		return this.ready.getAsBoolean() && !this.reach.isCutOff() && !this.reach.isInDoubt() && this.limit.hasRoom();
	}

}
