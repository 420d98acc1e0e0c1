package org.burdocktray.process.serve.gateway;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.Stream;

import io.vertx.core.Vertx;
import org.burdocktray.connection.peer.generated.RelayOffer;
import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.process.directory.ReplicaLoads;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RelayVmsTests {

	private static final DataCentre GHENT = new DataCentre("ghent");

	private static final NetworkAddress OWN = new NetworkAddress("127.0.0.1", 7340);

	private static final NetworkAddress FIRST = new NetworkAddress("127.0.0.1", 7341);

	private static final NetworkAddress SECOND = new NetworkAddress("127.0.0.1", 7342);

	private final Vertx vertx = Vertx.vertx();

	private final RelayVms relays = new RelayVms(new VmDatagrams(this.vertx, OWN), GHENT, new ReplicaLoads(),
			new SplittableRandom(1));

	@AfterEach
	void close() {
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	/**
	 * Guards against requests that were refused at once when the only VM that had offered
	 * declined, while another one had not been listed or had not replied yet.
	 */
	@Test
	void offerOfVmThatDeclinesDoesNotEndTheWait() {
		setVms(OWN, FIRST);
		this.relays.startAsking();
		offer(FIRST);
		assertThat(this.relays.select((vm) -> true)).isEmpty();
		assertThat(this.relays.isAwaitingOffers()).isTrue();
		setVms(OWN, FIRST, SECOND);
		assertThat(this.relays.isAwaitingOffers()).isTrue();
		offer(SECOND);
		assertThat(this.relays.select((vm) -> vm.address().equals(FIRST)).map((target) -> target.replica().address()))
			.contains(SECOND);
	}

	@Test
	void nothingIsAwaitedOnceReplicasAreReached() {
		setVms(OWN, FIRST);
		this.relays.startAsking();
		this.relays.stopAsking();
		assertThat(this.relays.isAwaitingOffers()).isFalse();
	}

	private void offer(NetworkAddress sender) {
		this.relays.receive(sender, RelayOffer.getDefaultInstance());
	}

	private void setVms(NetworkAddress... addresses) {
		List<FleetRegistry.RegisteredVm> vms = Stream.of(addresses)
			.map((address) -> new FleetRegistry.RegisteredVm("vm-" + address.port(), GHENT, Optional.of(address)))
			.toList();
		this.relays.setVms(vms);
	}

}
