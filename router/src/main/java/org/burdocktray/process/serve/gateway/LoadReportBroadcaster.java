package org.burdocktray.process.serve.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramPacket;
import io.vertx.core.datagram.DatagramSocket;
import io.vertx.core.datagram.DatagramSocketOptions;
import org.burdocktray.connection.peer.generated.SharedLoad;
import org.burdocktray.connection.peer.generated.SharedLoads;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.process.directory.LoadReport;
import org.burdocktray.process.directory.Replica;
import org.jboss.logging.Logger;

/**
 * Sends the load reports of engines to the other VMs of this data centre, in datagrams
 * that may be lost. Datagrams whose sender is not a known VM are dropped. The receiver
 * uses reports only as hints for the choice of engines. Thread safety: none, confined to
 * one event loop.
 */
final class LoadReportBroadcaster {

	private static final Logger LOGGER = Logger.getLogger(LoadReportBroadcaster.class);

	/** Keeps a datagram within one network packet. */
	private static final int MAX_LOADS_PER_DATAGRAM = 16;

	private final NetworkAddress ownAddress;

	private final Listener listener;

	private final DatagramSocket socket;

	private final Map<String, PendingReport> pending = new HashMap<>();

	private List<NetworkAddress> peers = List.of();

	LoadReportBroadcaster(Vertx vertx, NetworkAddress ownAddress, Listener listener) {
		this.ownAddress = ownAddress;
		this.listener = listener;
		this.socket = vertx.createDatagramSocket(new DatagramSocketOptions());
	}

	Future<Void> start() {
		return this.socket.listen(this.ownAddress.port(), this.ownAddress.ip())
			.onSuccess((listening) -> listening.handler(this::onDatagram))
			.mapEmpty();
	}

	/**
	 * Sets the VMs of this data centre.
	 * @param addresses their addresses; may include this VM's own
	 */
	void setPeers(List<NetworkAddress> addresses) {
		this.peers = addresses.stream().filter((address) -> !address.equals(this.ownAddress)).toList();
	}

	/**
	 * Adds an engine's report to the next {@link #flush}.
	 * @param engine the engine
	 * @param report its report, or the reason why there is none
	 */
	void add(Replica engine, Either<String, LoadReport> report) {
		this.pending.put(engine.id(), new PendingReport(engine, report, System.nanoTime()));
	}

	/** Sends the reports that were added since the last flush. */
	void flush() {
		if (this.pending.isEmpty()) {
			return;
		}
		SharedLoads.Builder message = SharedLoads.newBuilder();
		for (PendingReport pendingReport : List.copyOf(this.pending.values())) {
			message.addLoads(encode(pendingReport));
			if (message.getLoadsCount() == MAX_LOADS_PER_DATAGRAM) {
				send(message.build());
				message = SharedLoads.newBuilder();
			}
		}
		if (message.getLoadsCount() > 0) {
			send(message.build());
		}
		this.pending.clear();
	}

	private void send(SharedLoads message) {
		Buffer bytes = Buffer.buffer(message.toByteArray());
		for (NetworkAddress peer : this.peers) {
			this.socket.send(bytes, peer.port(), peer.ip())
				.onFailure((cause) -> LOGGER.debugf("Load not told: vm=%s cause=%s", peer, cause.getMessage()));
		}
	}

	private void onDatagram(DatagramPacket packet) {
		boolean isPeer = this.peers.stream().anyMatch((peer) -> peer.ip().equals(packet.sender().host()));
		if (!isPeer) {
			return;
		}
		try {
			SharedLoads.parseFrom(packet.data().getBytes()).getLoadsList().forEach(this::decode);
		}
		catch (InvalidProtocolBufferException ex) {
			LOGGER.infof("Datagram cannot be read: from=%s cause=%s", packet.sender(), ex.getMessage());
		}
	}

	private void decode(SharedLoad load) {
		Optional<LoadReport> report = load.getSilent() ? Optional.empty()
				: Optional.of(new LoadReport(load.getBornMillis(), false, 0, Optional.empty(), load.getRunning(),
						load.getQueued(), load.getKvUsed(), load.getKvTotal(), load.getSlowness(), List.of()));
		this.listener.onPeerReport(load.getEngine(), load.getBornMillis(), report);
	}

	private static SharedLoad encode(PendingReport pendingReport) {
		long ageMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - pendingReport.receivedNanos());
		SharedLoad.Builder load = SharedLoad.newBuilder()
			.setEngine(pendingReport.engine().id())
			.setBornMillis(pendingReport.engine().startedAtMillis())
			.setAgeMillis((int) ageMillis)
			.setSilent(pendingReport.report().isLeft());
		pendingReport.report()
			.peek((loadReport) -> load.setRunning(loadReport.running())
				.setQueued(loadReport.queued())
				.setKvUsed(loadReport.kvUsed())
				.setKvTotal(loadReport.kvTotal())
				.setSlowness(loadReport.slowdownFactor()));
		return load.build();
	}

	/**
	 * Receives the reports that other VMs send.
	 */
	interface Listener {

		/**
		 * Handles the report that another VM received from an engine.
		 * @param engineId the id of the engine
		 * @param startedAtMillis when the engine started, in milliseconds since 1970
		 * @param report its report, empty when the engine returned none
		 */
		void onPeerReport(String engineId, long startedAtMillis, Optional<LoadReport> report);

	}

	private record PendingReport(Replica engine, Either<String, LoadReport> report, long receivedNanos) {

	}

}
