package org.burdocktray.standins.engine;

import java.io.IOException;
import java.io.InputStream;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import io.vertx.core.json.JsonObject;
import org.burdocktray.standins.TestHttpClient;
import org.burdocktray.standins.model.ReferenceResponse;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Runs pipelines of engines over the loopback address. The timeout only ends tests that
 * hang.
 */
@Timeout(value = 2, unit = TimeUnit.MINUTES)
class EngineStandInTests {

	private static final String PROMPT = "summarise the tasting panel of batch ten";

	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 3 })
	void generatesSameResponseAsReferenceModel(int stageCount) throws Exception {
		try (TestPipeline pipeline = new TestPipeline(stageCount)) {
			for (int number = 0; number < 10; number++) {
				String prompt = PROMPT + " " + number;
				ReferenceResponse reference = TestPipeline.reference(prompt);
				List<JsonObject> lines = pipeline.readLines(pipeline.request("s" + number, 1, prompt, List.of()));
				assertThat(TestPipeline.tokens(lines)).isEqualTo(reference.tokens());
				JsonObject last = lines.get(lines.size() - 1);
				assertThat(last.getString("finishReason")).isEqualTo(reference.finishReason());
				assertThat(last.getInteger("promptTokens")).isEqualTo(reference.promptTokens());
			}
			for (int index = 0; index < stageCount; index++) {
				assertThat(pipeline.engine(index).violations()).isZero();
			}
		}
	}

	@ParameterizedTest
	@CsvSource({ "1, 9", "1, 20", "2, 7", "2, 21" })
	void resumesStreamAfterLaterStageIsReplaced(int failing, int crashAfterSteps) throws Exception {
		try (TestPipeline pipeline = new TestPipeline(3)) {
			pipeline.setFaults(failing, new EngineFaults(false, 0, "", 0, crashAfterSteps, false, false, 0, false));
			List<JsonObject> firstLines = pipeline.readLines(pipeline.request("s1", 1, PROMPT, List.of()));
			assertThat(firstLines.get(firstLines.size() - 1).getInteger("failedStage")).isEqualTo(failing);
			pipeline.replace(failing);
			assertResumes(pipeline, TestPipeline.tokens(firstLines), 3);
		}
	}

	@Test
	void resumesStreamAfterHeadIsReplaced() throws Exception {
		try (TestPipeline pipeline = new TestPipeline(3)) {
			pipeline.setFaults(0, new EngineFaults(false, 0, "", 0, 15, false, false, 0, false));
			List<JsonObject> firstLines = pipeline.readLines(pipeline.request("s1", 1, PROMPT, List.of()));
			assertThat(firstLines).isNotEmpty().allMatch((line) -> line.containsKey("token"));
			pipeline.replace(0);
			assertResumes(pipeline, TestPipeline.tokens(firstLines), 3);
		}
	}

	@Test
	void resumesStreamWhenSomeTokensWereNotDelivered() throws Exception {
		try (TestPipeline pipeline = new TestPipeline(2)) {
			pipeline.setFaults(1, new EngineFaults(false, 0, "", 16, 0, false, false, 0, false));
			List<JsonObject> firstLines = pipeline.readLines(pipeline.request("s1", 1, PROMPT, List.of()));
			pipeline.setFaults(1, EngineFaults.NONE);
			assertResumes(pipeline, TestPipeline.tokens(firstLines).subList(0, 3), 2);
		}
	}

	@Test
	void resumesStreamFromImportedState() throws Exception {
		try (TestPipeline pipeline = new TestPipeline(2)) {
			pipeline.setFaults(1, new EngineFaults(false, 0, "", 16, 0, false, false, 0, false));
			List<JsonObject> firstLines = pipeline.readLines(pipeline.request("s1", 1, PROMPT, List.of()));
			JsonObject exported = pipeline.client(1).getJson("/v1/kv/s1");
			EngineStandIn replacement = pipeline.replace(1);
			assertThat(pipeline.client(1).send("PUT", "/v1/kv/s1", exported.getMap()).statusCode()).isEqualTo(204);
			assertResumes(pipeline, TestPipeline.tokens(firstLines), 2);
			assertThat(replacement.log().get(0).position()).isEqualTo(16);
		}
	}

	@Test
	void reportsFrozenStageAsFailed() throws Exception {
		try (TestPipeline pipeline = new TestPipeline(3)) {
			pipeline.setFaults(2, new EngineFaults(true, 0, "", 0, 0, false, false, 0, false));
			List<JsonObject> lines = pipeline.readLines(pipeline.request("s1", 1, PROMPT, List.of()));
			assertThat(lines).hasSize(1);
			assertThat(lines.get(0).getInteger("failedStage")).isEqualTo(2);
			pipeline.setFaults(2, EngineFaults.NONE);
			assertResumes(pipeline, List.of(), 3);
		}
	}

	@Test
	void runsDuplicateAndLateStepsOnce() throws Exception {
		try (TestPipeline pipeline = new TestPipeline(3)) {
			pipeline.setFaults(0, new EngineFaults(false, 0, "", 0, 0, false, true, 1, false));
			pipeline.setFaults(1, new EngineFaults(false, 0, "", 0, 0, false, true, 5, false));
			List<JsonObject> lines = pipeline.readLines(pipeline.request("s1", 1, PROMPT, List.of()));
			assertThat(TestPipeline.tokens(lines)).isEqualTo(TestPipeline.reference(PROMPT).tokens());
			assertEachPositionRunOnce(pipeline, 3);
		}
	}

	@Test
	void refusesAttemptNotHigherThanTheLastOne() throws Exception {
		try (TestPipeline pipeline = new TestPipeline(2)) {
			pipeline.readLines(pipeline.request("s1", 2, PROMPT, List.of()));
			long positionsRun = pipeline.counter(0, "positions");
			StreamRequest stale = pipeline.request("s1", 2, PROMPT, List.of());
			assertThat(pipeline.client(0).send("POST", "/v1/pipeline/streams", stale).statusCode()).isEqualTo(409);
			StepsRequest staleSteps = pipeline.request("s1", 1, PROMPT, List.of()).toStepsRequest(1, 0, List.of("1"));
			assertThat(pipeline.client(1).send("POST", "/v1/pipeline/steps", staleSteps).statusCode()).isEqualTo(409);
			assertThat(pipeline.counter(0, "positions")).isEqualTo(positionsRun);
			assertThat(pipeline.counter(1, "positions")).isEqualTo(positionsRun);
		}
	}

	@Test
	void endsLowerAttemptWhenHigherOneStarts() throws Exception {
		try (TestPipeline pipeline = new TestPipeline(3)) {
			pipeline.setFaults(1, new EngineFaults(false, 20, "", 0, 0, false, false, 0, false));
			try (InputStream lowerAttempt = pipeline.open(pipeline.request("s1", 1, PROMPT, List.of())).body()) {
				assertThat(lowerAttempt.read()).isEqualTo('{');
				assertResumes(pipeline, List.of(), 3);
				assertThatThrownBy(lowerAttempt::readAllBytes).isInstanceOf(IOException.class);
			}
		}
	}

	@Test
	void crashesWhenPromptContainsFaultText() throws Exception {
		try (TestPipeline pipeline = new TestPipeline(2)) {
			pipeline.setFaults(0, new EngineFaults(false, 0, "batch ten", 0, 0, false, false, 0, false));
			StreamRequest request = pipeline.request("s1", 1, PROMPT, List.of());
			assertThatThrownBy(() -> pipeline.open(request)).isInstanceOf(IOException.class);
			assertThatThrownBy(() -> pipeline.counter(0, "streams")).isInstanceOf(IOException.class);
		}
	}

	@Test
	void reportsExpectedPositionWhenPositionsAreSkipped() throws Exception {
		try (TestPipeline pipeline = new TestPipeline(2)) {
			StepsRequest steps = pipeline.request("s1", 1, PROMPT, List.of()).toStepsRequest(1, 4, List.of("1"));
			JsonObject response = new JsonObject(pipeline.client(1).send("POST", "/v1/pipeline/steps", steps).body());
			assertThat(response.getInteger("expectedPosition")).isZero();
		}
	}

	@Test
	void cancelsAllStagesWhenCallerDisconnects() throws Exception {
		try (TestPipeline pipeline = new TestPipeline(3)) {
			pipeline.setFaults(0, new EngineFaults(false, 20, "", 0, 0, false, false, 0, false));
			try (InputStream response = pipeline.open(pipeline.request("s1", 1, PROMPT, List.of())).body()) {
				assertThat(response.read()).isEqualTo('{');
			}
			while (pipeline.counter(1, "released") == 0 || pipeline.counter(2, "released") == 0) {
				Thread.onSpinWait();
			}
			assertThat(pipeline.client(2).get("/v1/kv/s1").statusCode()).isEqualTo(404);
			assertThat(pipeline.client(0).getJson("/v1/load").getInteger("inFlight")).isZero();
		}
	}

	@Test
	void reportsRefusedStreamsAsNotRun() throws Exception {
		try (TestPipeline pipeline = new TestPipeline(2)) {
			StreamRequest supported = pipeline.request("s1", 1, PROMPT, List.of());
			StreamRequest otherVersion = new StreamRequest("s1", 1, TestPipeline.MODEL, "9", "", 0, PROMPT, 8,
					List.of(), supported.stages());
			assertRefused(pipeline, otherVersion, 404);
			assertThat(pipeline.client(0)
				.send("PUT", "/standin/faults", new EngineFaults(false, 0, "", 0, 0, true, false, 0, false))
				.statusCode()).isEqualTo(204);
			assertRefused(pipeline, supported, 503);
			assertThat(pipeline.client(0).getJson("/v1/load").getBoolean("leaving")).isTrue();
		}
	}

	@ParameterizedTest
	@CsvSource({ "true, 409, 3", "false, 204, 2" })
	void acceptsOutdatedFencingNumberOnlyWithoutCheck(boolean isFencingChecked, int statusCode, String versionAfter)
			throws Exception {
		EngineStandIn engine = new EngineStandIn(
				EngineOptions.of("e", TestPipeline.MODEL, "1", 0, 4).withChecksFencing(isFencingChecked));
		engine.start(0);
		TestHttpClient calls = new TestHttpClient(engine);
		calls.send("PUT", "/v1/desired", order(17, "3"));
		assertThat(calls.send("PUT", "/v1/desired", order(16, "2")).statusCode()).isEqualTo(statusCode);
		assertThat(calls.getJson("/v1/load").getString("modelVersion")).isEqualTo(versionAfter);
		engine.stop();
	}

	@Test
	void refusesStreamsOverTheLimit() throws Exception {
		EngineStandIn engine = new EngineStandIn(
				EngineOptions.of("e", TestPipeline.MODEL, TestPipeline.VERSION, 0, 4).withMaxStreams(0));
		engine.start(0);
		StreamRequest request = new StreamRequest("s1", 1, TestPipeline.MODEL, TestPipeline.VERSION, "", 0, PROMPT, 8,
				List.of(), List.of(new Stage(engine.address(), 0, 4)));
		assertThat(new TestHttpClient(engine).send("POST", "/v1/pipeline/streams", request))
			.satisfies((response) -> assertThat(response.statusCode()).isEqualTo(429))
			.satisfies((response) -> assertThat(response.headers().firstValue("Retry-After")).contains("1"));
		engine.stop();
	}

	private static EngineBodies.Desired order(long fencingNumber, String modelVersion) {
		return new EngineBodies.Desired(fencingNumber, TestPipeline.MODEL, modelVersion, List.of(), 0, 4, "decode");
	}

	private static void assertRefused(TestPipeline pipeline, StreamRequest request, int statusCode) throws Exception {
		HttpResponse<String> response = pipeline.client(0).send("POST", "/v1/pipeline/streams", request);
		assertThat(response.statusCode()).isEqualTo(statusCode);
		assertThat(new JsonObject(response.body()).getString("ran")).isEqualTo("no");
		assertThat(pipeline.counter(0, "positions")).isZero();
	}

	private static void assertResumes(TestPipeline pipeline, List<String> emitted, int stageCount) throws Exception {
		List<JsonObject> rest = pipeline.readLines(pipeline.request("s1", 2, PROMPT, emitted));
		assertThat(rest.get(0).getInteger("position")).isEqualTo(emitted.size());
		List<String> allTokens = new ArrayList<>(emitted);
		allTokens.addAll(TestPipeline.tokens(rest));
		assertThat(allTokens).isEqualTo(TestPipeline.reference(PROMPT).tokens());
		assertEachPositionRunOnce(pipeline, stageCount);
	}

	private static void assertEachPositionRunOnce(TestPipeline pipeline, int stageCount) {
		for (int index = 0; index < stageCount; index++) {
			List<Integer> positions = pipeline.engine(index).log().stream().map(ExecutedStep::position).toList();
			int firstPosition = positions.get(0);
			assertThat(positions)
				.isEqualTo(IntStream.range(firstPosition, firstPosition + positions.size()).boxed().toList());
			assertThat(pipeline.engine(index).violations()).isZero();
		}
	}

}
