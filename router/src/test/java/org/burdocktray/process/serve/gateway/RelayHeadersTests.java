package org.burdocktray.process.serve.gateway;

import io.vertx.core.MultiMap;
import org.burdocktray.process.serve.gateway.RelayHeaders.RelayedRequest;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests what VMs tell each other of a relayed request.
 */
class RelayHeadersTests {

	private final MultiMap headers = MultiMap.caseInsensitiveMultiMap();

	@Test
	void tellsThatReceiverGotTheRequestBefore() {
		RelayedRequest first = new RelayedRequest(7, "desk", 0, false);
		RelayHeaders.write("key", first.nextAttempt(1, true), this.headers);
		assertThat(RelayHeaders.read(this.headers)).contains(new RelayedRequest(7, "desk", 1, true));
	}

	@Test
	void firstRequestReadsAsOneOfAnEarlierBuild() {
		RelayedRequest first = new RelayedRequest(7, "desk", 0, false);
		RelayHeaders.write("key", first, this.headers);
		assertThat(this.headers.names()).hasSize(4);
		assertThat(RelayHeaders.read(this.headers)).contains(first);
	}

	@Test
	void replicasSeeNoneOfTheHeaders() {
		RelayHeaders.write("key", new RelayedRequest(7, "desk", 1, true), this.headers);
		RelayHeaders.remove(this.headers);
		assertThat(this.headers.isEmpty()).isTrue();
	}

}
