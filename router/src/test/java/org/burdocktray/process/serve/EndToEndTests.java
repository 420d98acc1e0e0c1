package org.burdocktray.process.serve;

import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import io.vertx.core.json.JsonObject;
import org.burdocktray.standins.engine.EngineFaults;
import org.burdocktray.standins.engine.EngineStandIn;
import org.burdocktray.standins.service.Execution;
import org.burdocktray.standins.service.ServiceFaults;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the full request path over real connections between callers, routers, engines,
 * services and the platform.
 */
class EndToEndTests {

	@Test
	void bufferedAndStreamedResponsesMatchTheReferenceModel() {
		try (TestFleet fleet = new TestFleet(1, 1, 1, 0)) {
			String expected = TestFleet.expectedResponse("sour").text();
			assertThat(TestCaller.responseText(fleet.caller(0).chat("sour"))).isEqualTo(expected);
			TestCaller.StreamedResponse streamed = fleet.caller(0).streamAsync("sour").join();
			assertThat(streamed).isEqualTo(new TestCaller.StreamedResponse(200, expected, true));
		}
	}

	@Test
	void concurrentStreamsOverTwoRoutersEachReceiveTheirOwnResponse() {
		try (TestFleet fleet = new TestFleet(2, 2, 2, 1)) {
			List<String> texts = IntStream.range(0, 300).mapToObj((index) -> "panel " + index).toList();
			List<CompletableFuture<TestCaller.StreamedResponse>> responses = texts.stream()
				.map((text) -> fleet.caller(text.hashCode() & 1).streamAsync(text))
				.toList();
			for (int index = 0; index < texts.size(); index++) {
				assertThat(responses.get(index).join()).isEqualTo(new TestCaller.StreamedResponse(200,
						TestFleet.expectedResponse(texts.get(index)).text(), true));
			}
		}
	}

	@Test
	void streamsCompleteWhenTheTailEngineCrashes() {
		try (TestFleet fleet = new TestFleet(1, 1, 2, 5)) {
			List<CompletableFuture<TestCaller.StreamedResponse>> responses = startStreams(fleet, 40);
			awaitPositions(fleet.tail(0), 200);
			fleet.tail(0).crash();
			assertAllComplete(responses);
			assertThat(stepsRunTwice(fleet.head(0))).isEmpty();
		}
	}

	@Test
	void streamsCompleteWhenTheHeadEngineCrashes() {
		try (TestFleet fleet = new TestFleet(1, 2, 1, 5)) {
			List<CompletableFuture<TestCaller.StreamedResponse>> responses = startStreams(fleet, 40);
			awaitPositions(fleet.head(0), 200);
			fleet.head(0).crash();
			assertAllComplete(responses);
			assertThat(stepsRunTwice(fleet.tail(0))).isEmpty();
		}
	}

	@Test
	void streamsCompleteWhenTheTailEngineFreezes() {
		try (TestFleet fleet = new TestFleet(1, 1, 2, 5, 1_000)) {
			List<CompletableFuture<TestCaller.StreamedResponse>> responses = startStreams(fleet, 20);
			awaitPositions(fleet.tail(0), 100);
			fleet.tail(0).applyFaults(new EngineFaults(true, 0, "", 0, 0, false, false, 0, false));
			assertAllComplete(responses);
			assertThat(stepsRunTwice(fleet.head(0))).isEmpty();
		}
	}

	@Test
	void repeatedKeyRunsOnceAndReplaysTheResponse() {
		try (TestFleet fleet = new TestFleet(2, 1, 1, 0)) {
			HttpResponse<String> first = deposit(fleet, 0, "k1", "{\"euro\":50}");
			HttpResponse<String> second = deposit(fleet, 1, "k1", "{\"euro\":50}");
			assertThat(first.statusCode()).isEqualTo(200);
			assertThat(second.body()).isEqualTo(first.body());
			assertThat(second.headers().firstValue("Idempotent-Replayed")).contains("true");
			assertThat(executions(fleet)).hasSize(1);
		}
	}

	@Test
	void concurrentCallsWithOneKeyAtSeveralRoutersRunOnce() {
		try (TestFleet fleet = new TestFleet(3, 1, 1, 0)) {
			List<CompletableFuture<HttpResponse<String>>> calls = IntStream.range(0, 30)
				.mapToObj((index) -> fleet.caller(index % 3)
					.send("POST", "/services/booking/deposits", "{}", "Idempotency-Key", "k"))
				.toList();
			assertThat(calls.stream().map((call) -> call.join().statusCode())).contains(200).containsOnly(200, 409);
			assertThat(executions(fleet)).hasSize(1);
		}
	}

	@Test
	void claimedCallWithLostResponseHasUnknownOutcomeAndIsNotRepeated() {
		try (TestFleet fleet = new TestFleet(1, 1, 1, 0)) {
			ServiceFaults lost = new ServiceFaults(0, 0, 0, 5, false, false, "");
			fleet.replicas().forEach((replica) -> replica.applyFaults(lost));
			HttpResponse<String> first = deposit(fleet, 0, "k", "{}");
			fleet.replicas().forEach((replica) -> replica.applyFaults(ServiceFaults.NONE));
			HttpResponse<String> second = deposit(fleet, 0, "k", "{}");
			assertThat(problem(first)).containsExactly("502", "upstream-failed", "unknown");
			assertThat(problem(second)).containsExactly("409", "key-outcome-unknown", "unknown");
			assertThat(executions(fleet)).hasSize(1);
		}
	}

	@Test
	void keyReusedWithDifferentBodyIsRefused() {
		try (TestFleet fleet = new TestFleet(1, 1, 1, 0)) {
			deposit(fleet, 0, "k", "{\"euro\":50}");
			assertThat(problem(deposit(fleet, 0, "k", "{\"euro\":51}"))).containsExactly("422", "key-reused", "no");
		}
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|',
			textBlock = """
					POST | /v1/chat/completions | {          | 400 | malformed          | The body is not valid JSON
					POST | /v1/chat/completions | []         | 400 | malformed          | The body must be a JSON object
					POST | /v1/chat/completions | {"model":1}| 400 | malformed          | model:
					POST | /v1/chat/completions | {"model":"panel-7b"} | 400 | malformed | messages:
					POST | /v1/chat/completions | {"model":"x","messages":[{"role":"user","content":"a"}]} | 404 | not-found | model:
					POST | /v1/chat/completions | {"model":"panel-7b","stream":1} | 400 | malformed | stream:
					POST | /v1/chat/completions | {"model":"panel-7b","max_tokens":0} | 400 | malformed | max_tokens:
					POST | /v1/chat/completions | {"model":"panel-7b","messages":[{"role":"user","content":3}]} | 400 | malformed | messages[0].content:
					GET  | /v1/chat/completions | ''         | 405 | method-not-allowed | POST
					GET  | /nowhere             | ''         | 404 | not-found          | path
					GET  | /services/nowhere/a  | ''         | 404 | not-found          | service
					POST | /services/booking/deposits | {}   | 400 | key-required       | Idempotency-Key
					""")
	void invalidRequestReturnsTheDocumentedProblem(String method, String path, String body, int status, String type,
			String detail) {
		try (TestFleet fleet = new TestFleet(1, 1, 1, 0)) {
			HttpResponse<String> response = fleet.caller(0).send(method, path, body).join();
			assertThat(problem(response)).containsExactly(Integer.toString(status), type, "no");
			assertThat(new JsonObject(response.body()).getString("detail")).contains(detail);
		}
	}

	@Test
	void unknownApiKeyIsRefused() {
		try (TestFleet fleet = new TestFleet(1, 1, 1, 0)) {
			TestCaller unknownCaller = new TestCaller(fleet.caller(0).address(), "no-such-key");
			assertThat(problem(unknownCaller.chat("a"))).containsExactly("401", "unauthenticated", "no");
		}
	}

	@Test
	void oversizeBodyIsRefused() {
		try (TestFleet fleet = new TestFleet(1, 1, 1, 0)) {
			HttpResponse<String> response = fleet.caller(0).chat("a".repeat(70_000));
			assertThat(problem(response)).containsExactly("413", "too-large", "no");
		}
	}

	@Test
	void oversizeHeadersAreRefused() {
		try (TestFleet fleet = new TestFleet(1, 1, 1, 0)) {
			HttpResponse<String> response = fleet.caller(0)
				.send("GET", "/v1/models", "", "X-Large", "a".repeat(9_000))
				.join();
			assertThat(problem(response)).containsExactly("413", "too-large", "no");
		}
	}

	private static List<CompletableFuture<TestCaller.StreamedResponse>> startStreams(TestFleet fleet, int count) {
		return IntStream.range(0, count).mapToObj((index) -> fleet.caller(0).streamAsync("panel " + index)).toList();
	}

	private static void assertAllComplete(List<CompletableFuture<TestCaller.StreamedResponse>> responses) {
		for (int index = 0; index < responses.size(); index++) {
			assertThat(responses.get(index).join()).isEqualTo(
					new TestCaller.StreamedResponse(200, TestFleet.expectedResponse("panel " + index).text(), true));
		}
	}

	private static void awaitPositions(EngineStandIn engine, int positions) {
		while (engine.log().size() < positions) {
			Thread.onSpinWait();
		}
	}

	private static List<String> stepsRunTwice(EngineStandIn engine) {
		List<String> steps = engine.log().stream().map((step) -> step.streamId() + "@" + step.position()).toList();
		return steps.stream().filter((step) -> steps.indexOf(step) != steps.lastIndexOf(step)).distinct().toList();
	}

	private static HttpResponse<String> deposit(TestFleet fleet, int router, String key, String body) {
		return fleet.caller(router).send("POST", "/services/booking/deposits", body, "Idempotency-Key", key).join();
	}

	private static List<Execution> executions(TestFleet fleet) {
		return fleet.replicas().stream().flatMap((replica) -> replica.log().stream()).toList();
	}

	private static List<String> problem(HttpResponse<String> response) {
		JsonObject body = new JsonObject(response.body());
		String type = body.getString("type");
		return Stream
			.of(Integer.toString(response.statusCode()), type.substring(type.lastIndexOf(':') + 1),
					body.getString("ran"))
			.toList();
	}

}
