package org.burdocktray.standins.engine;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import io.vertx.core.json.JsonObject;
import org.burdocktray.standins.JsonBodies;
import org.burdocktray.standins.TestHttpClient;
import org.burdocktray.standins.model.ReferenceModel;
import org.burdocktray.standins.model.ReferenceResponse;

/**
 * A pipeline of engines in the test's process. Thread safety: confined to the thread of
 * one test.
 */
final class TestPipeline implements AutoCloseable {

	static final String MODEL = "panel-7b";

	static final String VERSION = "3";

	static final int LAYERS = 12;

	static final int MAX_TOKENS = 48;

	private static final long STEP_TIMEOUT_MILLIS = 2_000;

	private static final long RETENTION_MILLIS = 30_000;

	private static final HttpClient CLIENT = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private final List<EngineStandIn> started = new ArrayList<>();

	private final List<EngineStandIn> engines = new ArrayList<>();

	private final int stageCount;

	TestPipeline(int stageCount) {
		this.stageCount = stageCount;
		IntStream.range(0, stageCount).forEach((index) -> this.engines.add(startEngine(index)));
	}

	EngineStandIn engine(int index) {
		return this.engines.get(index);
	}

	EngineStandIn replace(int index) {
		this.engines.set(index, startEngine(index));
		return this.engines.get(index);
	}

	void setFaults(int index, EngineFaults faults) {
		this.engines.get(index).applyFaults(faults);
	}

	TestHttpClient client(int index) {
		return new TestHttpClient(this.engines.get(index));
	}

	StreamRequest request(String streamId, long attempt, String prompt, List<String> emittedTokens) {
		List<Stage> stages = IntStream.range(0, this.stageCount)
			.mapToObj((index) -> new Stage(this.engines.get(index).address(), fromLayer(index), fromLayer(index + 1)))
			.toList();
		return new StreamRequest(streamId, attempt, MODEL, VERSION, "", 0, prompt, MAX_TOKENS, emittedTokens, stages);
	}

	List<JsonObject> readLines(StreamRequest request) throws IOException, InterruptedException {
		List<JsonObject> lines = new ArrayList<>();
		try {
			HttpResponse<Stream<String>> response = CLIENT.send(post(request), HttpResponse.BodyHandlers.ofLines());
			response.body().forEach((line) -> lines.add(new JsonObject(line)));
		}
		catch (UncheckedIOException ex) {
			// The head has failed and the response is truncated.
			return lines;
		}
		return lines;
	}

	HttpResponse<InputStream> open(StreamRequest request) throws IOException, InterruptedException {
		return CLIENT.send(post(request), HttpResponse.BodyHandlers.ofInputStream());
	}

	long counter(int index, String name) throws IOException, InterruptedException {
		return client(index).getJson("/standin/counts").getLong(name);
	}

	static List<String> tokens(List<JsonObject> lines) {
		return lines.stream()
			.filter((line) -> line.containsKey("token"))
			.map((line) -> line.getString("token"))
			.toList();
	}

	static ReferenceResponse reference(String prompt) {
		return new ReferenceModel(MODEL, VERSION, LAYERS).generate(prompt, MAX_TOKENS);
	}

	private HttpRequest post(StreamRequest request) {
		return HttpRequest.newBuilder(URI.create("http://" + engine(0).address() + "/v1/pipeline/streams"))
			.POST(HttpRequest.BodyPublishers.ofString(JsonBodies.encode(request)))
			.build();
	}

	private EngineStandIn startEngine(int index) {
		EngineOptions options = EngineOptions
			.of("ghent-e" + index, MODEL, VERSION, fromLayer(index), fromLayer(index + 1))
			.withTimeouts(STEP_TIMEOUT_MILLIS, RETENTION_MILLIS);
		EngineStandIn engine = new EngineStandIn(options);
		engine.start(0);
		this.started.add(engine);
		return engine;
	}

	private int fromLayer(int index) {
		return LAYERS * index / this.stageCount;
	}

	@Override
	public void close() {
		this.started.forEach(EngineStandIn::stop);
	}

}
