package org.burdocktray.process.serve;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.stream.IntStream;

import io.vertx.core.json.JsonObject;
import org.burdocktray.standins.service.Execution;
import org.burdocktray.standins.service.ServiceFaults;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests routers in separate processes that are terminated (SIGTERM) or killed (SIGKILL).
 */
class RouterProcessTests {

	private static final int STREAMS = 200;

	@TempDir
	private Path directory;

	@Test
	void terminatedRouterCompletesStreamsInProgressAndExitsWithZero() {
		try (TestFleet fleet = new TestFleet(0, 1, 1, 20);
				RouterProcess router = new RouterProcess(fleet.settings("vm-0", List.of()), this.directory)) {
			List<CompletableFuture<TestCaller.StreamedResponse>> responses = startStreams(fleet, router);
			router.terminate();
			for (int index = 0; index < STREAMS; index++) {
				assertThat(responses.get(index).join()).isEqualTo(new TestCaller.StreamedResponse(200,
						TestFleet.expectedResponse("panel " + index).text(), true));
			}
			assertThat(router.awaitExit()).isZero();
		}
	}

	@Test
	void killedRouterSendsTheTerminatorOnlyAfterACompleteResponse() {
		try (TestFleet fleet = new TestFleet(0, 1, 1, 20);
				RouterProcess router = new RouterProcess(fleet.settings("vm-0", List.of()), this.directory)) {
			List<CompletableFuture<TestCaller.StreamedResponse>> responses = startStreams(fleet, router);
			router.kill();
			for (int index = 0; index < STREAMS; index++) {
				String expected = TestFleet.expectedResponse("panel " + index).text();
				responses.get(index)
					.exceptionally((error) -> new TestCaller.StreamedResponse(0, "", false))
					.thenAccept((response) -> assertThat(response.done())
						.isEqualTo(response.text().equals(expected) && response.status() == 200))
					.join();
			}
		}
	}

	@Test
	void eachKeyRunsAtMostOnceWhileRoutersAreKilledAndStopped() {
		try (TestFleet fleet = new TestFleet(0, 1, 1, 0)) {
			fleet.roll(1);
			fleet.replicas()
				.forEach((replica) -> replica.applyFaults(new ServiceFaults(5, 20, 0, 0, false, false, "")));
			List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
			for (int round = 0; round < 3; round++) {
				runRound(fleet, round, responses);
			}
			List<Execution> executions = fleet.replicas()
				.stream()
				.flatMap((replica) -> replica.log().stream())
				.toList();
			List<String> keys = executions.stream().map(Execution::idempotencyKey).toList();
			assertThat(keys).isNotEmpty().doesNotHaveDuplicates();
			List<String> executedRequestIds = executions.stream().map(Execution::requestId).toList();
			assertThat(notRunRequestIds(responses)).doesNotContainAnyElementsOf(executedRequestIds);
		}
	}

	private void runRound(TestFleet fleet, int round, List<CompletableFuture<HttpResponse<String>>> responses) {
		List<RouterProcess> routers = IntStream.range(0, 3)
			.mapToObj((index) -> new RouterProcess(fleet.settings("vm-" + round + "-" + index, List.of()),
					this.directory))
			.toList();
		try {
			routers.forEach(RouterProcess::awaitReady);
			for (int call = 0; call < 60; call++) {
				String key = "key-" + (call % 20);
				responses.add(routers.get(call % 3)
					.caller()
					.send("POST", "/services/booking/deposits", "{}", "Idempotency-Key", key));
			}
			CompletableFuture.anyOf(responses.toArray(CompletableFuture[]::new)).exceptionally((error) -> null).join();
			routers.get(0).kill();
			routers.get(1).terminate();
			responses.forEach((response) -> response.exceptionally((error) -> null).join());
			assertThat(routers.get(1).awaitExit()).isZero();
		}
		finally {
			routers.forEach(RouterProcess::close);
		}
	}

	private static List<String> notRunRequestIds(List<CompletableFuture<HttpResponse<String>>> responses) {
		List<String> ids = new ArrayList<>();
		for (CompletableFuture<HttpResponse<String>> response : responses) {
			try {
				HttpResponse<String> completed = response.join();
				if (completed.statusCode() >= 400 && new JsonObject(completed.body()).getString("ran").equals("no")) {
					ids.add(completed.headers().firstValue("X-Request-Id").orElseThrow());
				}
			}
			catch (CompletionException ex) {
				// The router was killed and sent no response, so there is no verdict to
				// check.
				continue;
			}
		}
		return ids;
	}

	private static List<CompletableFuture<TestCaller.StreamedResponse>> startStreams(TestFleet fleet,
			RouterProcess router) {
		fleet.roll(1);
		router.awaitReady();
		List<CompletableFuture<TestCaller.StreamedResponse>> responses = IntStream.range(0, STREAMS)
			.mapToObj((index) -> router.caller().streamAsync("panel " + index))
			.toList();
		awaitStreams(fleet, STREAMS);
		return responses;
	}

	private static void awaitStreams(TestFleet fleet, int streams) {
		while (fleet.head(0).log().stream().map((step) -> step.streamId()).distinct().count() < streams) {
			Thread.onSpinWait();
		}
	}

}
