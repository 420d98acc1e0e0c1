package org.burdocktray.connection.engine;

import java.util.List;

import io.vavr.control.Either;
import io.vertx.core.Vertx;
import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.standins.engine.EngineFaults;
import org.burdocktray.standins.engine.EngineOptions;
import org.burdocktray.standins.engine.EngineStandIn;
import org.burdocktray.version.bundle.Engine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class HttpEngineOrderClientTests {

	private static final long TIMEOUT_MILLIS = 10_000;

	private static final long SHORT_TIMEOUT_MILLIS = 300;

	private static final DesiredState NEW_STATE = new DesiredState("panel-7b", "4", List.of("nl"), 0, 12,
			DesiredState.DECODE);

	private final Vertx vertx = Vertx.vertx();

	private final HttpEngineOrderClient client = new HttpEngineOrderClient(this.vertx.createHttpClient());

	private final EngineStandIn standIn = new EngineStandIn(EngineOptions.of("e1", "panel-7b", "3", 0, 12));

	@BeforeEach
	void start() {
		this.standIn.start(0);
	}

	@AfterEach
	void stop() {
		this.standIn.stop();
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	@Test
	void acceptedOrderChangesTheLoadedModel() {
		assertThat(sendOrder(17, TIMEOUT_MILLIS, true)).isEqualTo(Either.right(NEW_STATE));
		assertThat(this.client.fetchLoadedModel(engine(), TIMEOUT_MILLIS).blockingGet())
			.contains(new LoadedModel("panel-7b", "4"));
	}

	@Test
	void lowerFencingNumberIsReportedAsFenced() {
		sendOrder(17, TIMEOUT_MILLIS, true);
		assertThat(sendOrder(16, TIMEOUT_MILLIS, true)).isEqualTo(Either.left(OrderFailure.FENCED));
	}

	@Test
	void orderThatMayNoLongerBeSentLeavesTheEngineUnchanged() {
		assertThat(sendOrder(17, TIMEOUT_MILLIS, false)).isEqualTo(Either.left(OrderFailure.NOT_TAKEN));
		assertThat(this.client.fetchLoadedModel(engine(), TIMEOUT_MILLIS).blockingGet())
			.contains(new LoadedModel("panel-7b", "3"));
	}

	@Test
	void missingResponseAfterSendingIsUnresolved() {
		this.standIn.applyFaults(new EngineFaults(true, 0, "", 0, 0, false, false, 0, false));
		assertThat(sendOrder(17, SHORT_TIMEOUT_MILLIS, true)).isEqualTo(Either.left(OrderFailure.UNRESOLVED));
		assertThat(this.client.fetchLoadedModel(engine(), SHORT_TIMEOUT_MILLIS).blockingGet()).isEmpty();
	}

	@Test
	void orderToAnUnreachableEngineIsNotTaken() {
		Engine unreachable = engine();
		this.standIn.stop();
		Either<OrderFailure, DesiredState> result = this.client
			.sendOrder(new EngineOrder(unreachable, NEW_STATE, 17), TIMEOUT_MILLIS, () -> true)
			.blockingGet();
		assertThat(result).isEqualTo(Either.left(OrderFailure.NOT_TAKEN));
	}

	private Either<OrderFailure, DesiredState> sendOrder(long fencingNumber, long timeoutMillis, boolean canSend) {
		return this.client.sendOrder(new EngineOrder(engine(), NEW_STATE, fencingNumber), timeoutMillis, () -> canSend)
			.blockingGet();
	}

	private Engine engine() {
		NetworkAddress address = NetworkAddress.parse(this.standIn.address()).orElseThrow();
		return new Engine("e1", new DataCentre("ghent"), address, "panel-7b", 0, 12, "a", 100, 8, List.of(), true);
	}

}
