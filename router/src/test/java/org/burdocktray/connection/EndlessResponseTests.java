package org.burdocktray.connection;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.core.Single;
import io.vavr.control.Either;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import org.burdocktray.connection.engine.AttemptRequest;
import org.burdocktray.connection.engine.EngineEvent;
import org.burdocktray.connection.engine.EngineLoad;
import org.burdocktray.connection.engine.HttpEngineClient;
import org.burdocktray.connection.platform.HttpPlatformStore;
import org.burdocktray.connection.platform.StoreError;
import org.burdocktray.connection.platform.StoreRevision;
import org.burdocktray.connection.service.HttpServiceClient;
import org.burdocktray.connection.service.ServiceCall;
import org.burdocktray.connection.service.ServiceFailure;
import org.burdocktray.connection.service.ServiceResponse;
import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.model.Verdict;
import org.burdocktray.version.bundle.Engine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that responses without end are received only up to a limit, and that the attempt
 * then fails as one that may have run.
 */
class EndlessResponseTests {

	private static final long TEST_TIMEOUT_SECONDS = 8;

	private static final long CALL_TIMEOUT_MILLIS = 5_000;

	private static final long LOAD_TIMEOUT_MILLIS = 300;

	private static final long SLOW_BYTE_INTERVAL_MILLIS = 50;

	private final Vertx vertx = Vertx.vertx();

	private final HttpClient http = this.vertx.createHttpClient();

	@AfterEach
	void close() {
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	@Test
	void serviceBodyWithoutEndFailsAsMayHaveRun() {
		try (EndlessServer server = EndlessServer.endlessBody()) {
			assertThat(call(server).getLeft().verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
			assertThat(server.awaitClosedByPeer(TEST_TIMEOUT_SECONDS)).isTrue();
		}
	}

	@Test
	void serviceHeadWithoutEndFailsAsMayHaveRun() {
		try (EndlessServer server = EndlessServer.endlessHead()) {
			assertThat(call(server).getLeft().verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
			assertThat(server.awaitClosedByPeer(TEST_TIMEOUT_SECONDS)).isTrue();
		}
	}

	@Test
	void engineLineWithoutEndFailsTheStageWithoutCrash() {
		try (EndlessServer server = EndlessServer.endlessBody()) {
			assertThat(firstEvent(server))
				.isEqualTo(new EngineEvent.StageFailed(1, 0, false, "the engine sent a line over 65536 bytes"));
			assertThat(server.awaitClosedByPeer(TEST_TIMEOUT_SECONDS)).isTrue();
		}
	}

	@Test
	void engineHeadWithoutEndFailsTheHead() {
		try (EndlessServer server = EndlessServer.endlessHead()) {
			assertThat(firstEvent(server)).isInstanceOfSatisfying(EngineEvent.HeadFailed.class,
					(failed) -> assertThat(failed.sent()).isTrue());
			assertThat(server.awaitClosedByPeer(TEST_TIMEOUT_SECONDS)).isTrue();
		}
	}

	@Test
	void loadReportWithoutEndIsUnreachable() {
		try (EndlessServer server = EndlessServer.endlessBody()) {
			assertThat(fetchLoad(server)).isEqualTo(EngineLoad.unreachable());
			assertThat(server.awaitClosedByPeer(TEST_TIMEOUT_SECONDS)).isTrue();
		}
	}

	@Test
	void loadReportThatTricklesIsUnreachableAfterTheTimeout() {
		try (EndlessServer server = EndlessServer.slowBody(SLOW_BYTE_INTERVAL_MILLIS)) {
			assertThat(fetchLoad(server)).isEqualTo(EngineLoad.unreachable());
			assertThat(server.awaitClosedByPeer(TEST_TIMEOUT_SECONDS)).isTrue();
		}
	}

	@Test
	void platformBodyWithoutEndLeavesAWriteUnresolved() {
		try (EndlessServer server = EndlessServer.endlessBody()) {
			HttpPlatformStore store = new HttpPlatformStore(this.http, server.address(), CALL_TIMEOUT_MILLIS);
			assertThat(await(store.update("a/b", StoreRevision.of(1), "v")).getLeft()).isEqualTo(StoreError.UNRESOLVED);
			assertThat(server.awaitClosedByPeer(TEST_TIMEOUT_SECONDS)).isTrue();
		}
	}

	@Test
	void platformWatchLineWithoutEndEndsTheWatch() {
		try (EndlessServer server = EndlessServer.endlessBody()) {
			HttpPlatformStore store = new HttpPlatformStore(this.http, server.address(), CALL_TIMEOUT_MILLIS);
			assertThat(await(store.watch("a/", 0).toList())).isEmpty();
			assertThat(server.awaitClosedByPeer(TEST_TIMEOUT_SECONDS)).isTrue();
		}
	}

	private Either<ServiceFailure, ServiceResponse> call(EndlessServer server) {
		ServiceCall call = new ServiceCall("POST", "/search", new byte[0], Optional.empty(), Optional.empty(), "r1",
				CALL_TIMEOUT_MILLIS);
		return await(new HttpServiceClient(this.http, CALL_TIMEOUT_MILLIS).call(server.address(), call));
	}

	private EngineEvent firstEvent(EndlessServer server) {
		AttemptRequest request = new AttemptRequest("s", 1, "panel", "1", 0, "prompt", 8, List.of(),
				List.of(engine(server.address())));
		return await(new HttpEngineClient(this.http, CALL_TIMEOUT_MILLIS).startAttempt(request).firstOrError());
	}

	private EngineLoad fetchLoad(EndlessServer server) {
		return await(new HttpEngineClient(this.http, CALL_TIMEOUT_MILLIS).fetchLoad(engine(server.address()),
				LOAD_TIMEOUT_MILLIS));
	}

	private static <T> T await(Single<T> result) {
		return result.timeout(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS).blockingGet();
	}

	private static Engine engine(NetworkAddress address) {
		return new Engine("e1", new DataCentre("ghent"), address, "panel", 0, 12, "a", 100, 8, List.of(), true);
	}

}
