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
 * Routers as real processes that are stopped and killed.
 */
class RouterProcessTests {

	private static final int STREAMS = 200;

	@TempDir
	private Path directory;

	@Test
	void terminatedRouterCompletesStreamsInProgressAndExitsWithZero() {
		try (TestFleet fleet = new TestFleet(0, 1, 1, 20);
				RouterProcess router = new RouterProcess(fleet.settings("vm-0", List.of()), this.directory)) {
			List<CompletableFuture<TestCaller.StreamedResponse>> answers = startStreams(fleet, router);
			router.terminate();
			for (int index = 0; index < STREAMS; index++) {
				assertThat(answers.get(index).join()).isEqualTo(new TestCaller.StreamedResponse(200,
						TestFleet.expectedResponse("panel " + index).text(), true));
			}
			assertThat(router.awaitExit()).isZero();
		}
	}

	@Test
	void killedRouterSendsTheTerminatorOnlyAfterACompleteResponse() {
		try (TestFleet fleet = new TestFleet(0, 1, 1, 20);
				RouterProcess router = new RouterProcess(fleet.settings("vm-0", List.of()), this.directory)) {
			List<CompletableFuture<TestCaller.StreamedResponse>> answers = startStreams(fleet, router);
			router.kill();
			for (int index = 0; index < STREAMS; index++) {
				String expected = TestFleet.expectedResponse("panel " + index).text();
				answers.get(index)
					.exceptionally((lost) -> new TestCaller.StreamedResponse(0, "", false))
					.thenAccept((answer) -> assertThat(answer.done())
						.isEqualTo(answer.text().equals(expected) && answer.status() == 200))
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
			List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
			for (int round = 0; round < 3; round++) {
				runRound(fleet, round, answers);
			}
			List<Execution> executions = fleet.replicas()
				.stream()
				.flatMap((replica) -> replica.log().stream())
				.toList();
			List<String> keys = executions.stream().map(Execution::idempotencyKey).toList();
			assertThat(keys).isNotEmpty().doesNotHaveDuplicates();
			List<String> ran = executions.stream().map(Execution::requestId).toList();
			assertThat(notRunRequestIds(answers)).doesNotContainAnyElementsOf(ran);
		}
	}

	private void runRound(TestFleet fleet, int round, List<CompletableFuture<HttpResponse<String>>> answers) {
		List<RouterProcess> routers = IntStream.range(0, 3)
			.mapToObj((index) -> new RouterProcess(fleet.settings("vm-" + round + "-" + index, List.of()),
					this.directory))
			.toList();
		try {
			routers.forEach(RouterProcess::awaitReady);
			for (int call = 0; call < 60; call++) {
				String key = "key-" + (call % 20);
				answers.add(routers.get(call % 3)
					.caller()
					.send("POST", "/services/booking/deposits", "{}", "Idempotency-Key", key));
			}
			CompletableFuture.anyOf(answers.toArray(CompletableFuture[]::new)).exceptionally((lost) -> null).join();
			routers.get(0).kill();
			routers.get(1).terminate();
			answers.forEach((answer) -> answer.exceptionally((lost) -> null).join());
			assertThat(routers.get(1).awaitExit()).isZero();
		}
		finally {
			routers.forEach(RouterProcess::close);
		}
	}

	private static List<String> notRunRequestIds(List<CompletableFuture<HttpResponse<String>>> answers) {
		List<String> ids = new ArrayList<>();
		for (CompletableFuture<HttpResponse<String>> answer : answers) {
			try {
				HttpResponse<String> received = answer.join();
				if (received.statusCode() >= 400 && new JsonObject(received.body()).getString("ran").equals("no")) {
					ids.add(received.headers().firstValue("X-Request-Id").orElseThrow());
				}
			}
			catch (CompletionException ex) {
				// A killed router says nothing, so there is nothing to check.
				continue;
			}
		}
		return ids;
	}

	private static List<CompletableFuture<TestCaller.StreamedResponse>> startStreams(TestFleet fleet,
			RouterProcess router) {
		fleet.roll(1);
		router.awaitReady();
		List<CompletableFuture<TestCaller.StreamedResponse>> answers = IntStream.range(0, STREAMS)
			.mapToObj((index) -> router.caller().streamAsync("panel " + index))
			.toList();
		awaitStreams(fleet, STREAMS);
		return answers;
	}

	private static void awaitStreams(TestFleet fleet, int streams) {
		while (fleet.head(0).log().stream().map((step) -> step.streamId()).distinct().count() < streams) {
			Thread.onSpinWait();
		}
	}

}
