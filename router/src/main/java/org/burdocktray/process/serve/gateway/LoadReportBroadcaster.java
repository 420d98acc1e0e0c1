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
 * Tells the other VMs of this data centre what engines reported, in datagrams that may be
 * lost. Datagrams from addresses that are no VM's are dropped; what a datagram says is a
 * hint for the choice of engines only. Thread safety: none, confined to one event loop.
 */
final class LoadReportBroadcaster {

	private static final Logger LOGGER = Logger.getLogger(LoadReportBroadcaster.class);

	/** A datagram stays within one packet of the network. */
	private static final int MAX_LOADS_PER_DATAGRAM = 16;

	private final NetworkAddress ownAddress;

	private final Listener listener;

	private final DatagramSocket socket;

	private final Map<String, PendingReport> pending = new HashMap<>();

	private List<NetworkAddress> peers = List.of();

	LoadReportBroadcaster(Vertx vertx, NetworkAddress own, Listener listener) {
		this.ownAddress = own;
		this.listener = listener;
		this.socket = vertx.createDatagramSocket(new DatagramSocketOptions());
	}

	Future<Void> start() {
		return this.socket.listen(this.ownAddress.port(), this.ownAddress.ip())
			.onSuccess((listening) -> listening.handler(this::onDatagram))
			.mapEmpty();
	}

	/**
	 * Takes in the VMs of this data centre.
	 * @param addresses their addresses, this VM's own among them or not
	 */
	void setPeers(List<NetworkAddress> addresses) {
		this.peers = addresses.stream().filter((address) -> !address.equals(this.ownAddress)).toList();
	}

	/**
	 * Notes an engine's answer, to be told with the next flush.
	 * @param engine the engine
	 * @param answer its report, or why there is none
	 */
	void add(Replica engine, Either<String, LoadReport> answer) {
		this.pending.put(engine.id(), new PendingReport(engine, answer, System.nanoTime()));
	}

	/** Tells what was noted since the last flush. */
	void flush() {
		if (this.pending.isEmpty()) {
			return;
		}
		SharedLoads.Builder message = SharedLoads.newBuilder();
		for (PendingReport noted : List.copyOf(this.pending.values())) {
			message.addLoads(encode(noted));
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

	private static SharedLoad encode(PendingReport noted) {
		long ageMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - noted.receivedNanos());
		SharedLoad.Builder load = SharedLoad.newBuilder()
			.setEngine(noted.engine().id())
			.setBornMillis(noted.engine().startedAtMillis())
			.setAgeMillis((int) ageMillis)
			.setSilent(noted.report().isLeft());
		noted.report()
			.peek((report) -> load.setRunning(report.running())
				.setQueued(report.queued())
				.setKvUsed(report.kvUsed())
				.setKvTotal(report.kvTotal())
				.setSlowness(report.slowdownFactor()));
		return load.build();
	}

	/**
	 * Takes what other VMs tell.
	 */
	interface Listener {

		/**
		 * Takes in what another VM heard of an engine.
		 * @param engineId the engine
		 * @param bornMillis its start
		 * @param report its report, empty when it gave none
		 */
		void onPeerReport(String engineId, long bornMillis, Optional<LoadReport> report);

	}

	private record PendingReport(Replica engine, Either<String, LoadReport> report, long receivedNanos) {

	}

}
