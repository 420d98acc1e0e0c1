package org.burdocktray.connection.service;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Vertx;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.model.Verdict;
import org.burdocktray.standins.service.ServiceStandIn;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class HttpServiceClientTests {

	private static final long TIMEOUT_MILLIS = 5_000;

	@Test
	void callWithAHeaderThatCannotBeSentDidNotRun() {
		Vertx vertx = Vertx.vertx();
		ServiceStandIn service = new ServiceStandIn(false);
		service.start(0);
		try {
			ServiceCall call = new ServiceCall("POST", "/search", new byte[0], Optional.of("text/plain\n"),
					Optional.empty(), "r1", TIMEOUT_MILLIS);
			assertThat(new HttpServiceClient(vertx.createHttpClient(), TIMEOUT_MILLIS)
				.call(NetworkAddress.parse(service.address()).orElseThrow(), call)
				.timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
				.blockingGet()
				.getLeft()
				.verdict()).isEqualTo(Verdict.NOT_RUN);
			assertThat(service.log()).isEmpty();
		}
		finally {
			service.stop();
			vertx.close().toCompletionStage().toCompletableFuture().join();
		}
	}

}
