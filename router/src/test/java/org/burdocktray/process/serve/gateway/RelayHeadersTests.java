package org.burdocktray.process.serve.gateway;

import io.vertx.core.MultiMap;
import org.burdocktray.model.Verdict;
import org.burdocktray.process.serve.gateway.RelayHeaders.RelayedRequest;
import org.burdocktray.request.forward.AttemptOutcome;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests what VMs tell each other of a relayed request.
 */
class RelayHeadersTests {

	private final MultiMap headers = MultiMap.caseInsensitiveMultiMap();

	@Test
	void receiverReadsWhatSenderStates() {
		RelayedRequest relayed = new RelayedRequest(7, "desk", 1);
		RelayHeaders.write("key", relayed, this.headers);
		assertThat(RelayHeaders.readKey(this.headers)).isEqualTo("key");
		assertThat(RelayHeaders.read(this.headers)).contains(relayed);
	}

	/** Guards against sends to replicas that no VM charges to its retry budget. */
	@Test
	void onlyRequestThatWasNotSentIsDeclinedWithoutCharge() {
		RelayHeaders.writeDeclined(false, this.headers);
		assertThat(RelayHeaders.readRefusal(503, this.headers).map(RelayRefusal::outcome))
			.contains(AttemptOutcome.REJECTED);
		RelayHeaders.writeDeclined(true, this.headers);
		assertThat(RelayHeaders.readRefusal(503, this.headers).map(RelayRefusal::outcome))
			.contains(AttemptOutcome.DECLINED);
	}

	/** Guards against a second run of a request that may have run. */
	@Test
	void declinedRequestThatMayHaveRunIsLost() {
		RelayHeaders.writeDeclined(true, this.headers);
		RelayHeaders.writeVerdict(Verdict.MAY_HAVE_RUN, this.headers);
		assertThat(RelayHeaders.readRefusal(502, this.headers).map(RelayRefusal::outcome))
			.contains(AttemptOutcome.LOST);
	}

	@Test
	void replicasSeeNoneOfTheHeaders() {
		RelayHeaders.write("key", new RelayedRequest(7, "desk", 1), this.headers);
		RelayHeaders.remove(this.headers);
		assertThat(this.headers.isEmpty()).isTrue();
	}

}
