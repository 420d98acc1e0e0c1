package org.burdocktray.process.serve.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.BiConsumer;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramPacket;
import io.vertx.core.datagram.DatagramSocket;
import io.vertx.core.datagram.DatagramSocketOptions;
import org.burdocktray.connection.peer.generated.SharedLoads;
import org.burdocktray.model.NetworkAddress;
import org.jboss.logging.Logger;

/**
 * Messages between the VMs in datagrams that may be lost. Those whose sender is not a
 * known VM are dropped. Thread safety: none, confined to one event loop.
 */
final class VmDatagrams {

	private static final Logger LOGGER = Logger.getLogger(VmDatagrams.class);

	private final NetworkAddress ownAddress;

	private final List<BiConsumer<NetworkAddress, SharedLoads>> receivers = new ArrayList<>();

	private final DatagramSocket socket;

	private List<NetworkAddress> otherVms = List.of();

	VmDatagrams(Vertx vertx, NetworkAddress ownAddress) {
		this.ownAddress = ownAddress;
		this.socket = vertx.createDatagramSocket(new DatagramSocketOptions());
	}

	/**
	 * Adds a receiver of the messages of other VMs.
	 * @param receiver receives each message with the address of its sender
	 */
	void addReceiver(BiConsumer<NetworkAddress, SharedLoads> receiver) {
		this.receivers.add(receiver);
	}

	Future<Void> start() {
		return this.socket.listen(this.ownAddress.port(), this.ownAddress.ip())
			.onSuccess((listening) -> listening.handler(this::onDatagram))
			.mapEmpty();
	}

	/**
	 * Sets the known VMs.
	 * @param addresses their addresses; may include this VM's own
	 */
	void setVms(Collection<NetworkAddress> addresses) {
		this.otherVms = addresses.stream().filter((address) -> !address.equals(this.ownAddress)).toList();
	}

	/**
	 * Sends a message to all other known VMs.
	 * @param message the message
	 */
	void sendToAll(SharedLoads message) {
		send(message, this.otherVms);
	}

	/**
	 * Sends a message to one VM.
	 * @param message the message
	 * @param address its address
	 */
	void sendTo(SharedLoads message, NetworkAddress address) {
		send(message, List.of(address));
	}

	/**
	 * Sends a message to some VMs.
	 * @param message the message
	 * @param addresses their addresses; this VM's own is left out
	 */
	void send(SharedLoads message, List<NetworkAddress> addresses) {
		DatagramSplitter.split(message).forEach((part) -> sendPart(part, addresses));
	}

	private void sendPart(SharedLoads part, List<NetworkAddress> addresses) {
		Buffer bytes = Buffer.buffer(part.toByteArray());
		for (NetworkAddress address : addresses) {
			if (address.equals(this.ownAddress)) {
				continue;
			}
			this.socket.send(bytes, address.port(), address.ip())
				.onFailure((cause) -> LOGGER.debugf("Datagram not sent: vm=%s cause=%s", address, cause.getMessage()));
		}
	}

	private void onDatagram(DatagramPacket packet) {
		boolean isKnown = this.otherVms.stream().anyMatch((vm) -> vm.ip().equals(packet.sender().host()));
		if (!isKnown) {
			return;
		}
		try {
			SharedLoads message = SharedLoads.parseFrom(packet.data().getBytes());
			NetworkAddress sender = new NetworkAddress(packet.sender().host(), packet.sender().port());
			this.receivers.forEach((receiver) -> receiver.accept(sender, message));
		}
		catch (InvalidProtocolBufferException ex) {
			LOGGER.infof("Datagram cannot be read: from=%s cause=%s", packet.sender(), ex.getMessage());
		}
	}

}
