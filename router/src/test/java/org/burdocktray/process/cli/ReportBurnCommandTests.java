package org.burdocktray.process.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import org.burdocktray.process.metrics.RouterMetrics;
import org.burdocktray.version.bundle.Objective;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.offset;

/**
 * The burn report on saved scrapes and on a live VM. docs/BURN.md shows the calculation
 * of the expected values for the saved scrapes.
 */
class ReportBurnCommandTests {

	private static final String SCRAPES = "src/test/resources/burn/scrapes";

	private static final String BUNDLE = "src/test/resources/burn/bundle.jsonc";

	private static final double TOLERANCE = 1e-9;

	private final ByteArrayOutputStream out = new ByteArrayOutputStream();

	private final ByteArrayOutputStream err = new ByteArrayOutputStream();

	@ParameterizedTest(name = "{0} {1}")
	@CsvSource({ "answered,    0, BURNING, 220,  2330,  110,  220,  0.001",
			"answered,    1, BURNING, 225,  9335,  220,  1030, 0.001",
			"answered,    2, BURNING, 265,  99375, 225,  9335, 0.001",
			"first-token, 0, QUIET,   315,  4500,  105,  1500, 0.05",
			"first-token, 1, QUIET,   595,  8500,  210,  3000, 0.05",
			"first-token, 2, BURNING, 3395, 48500, 595,  8500, 0.05" })
	void matchesWorkedExampleOfAlerts(String objective, int alert, String state, long longBad, long longTotal,
			long shortBad, long shortTotal, double budget) throws IOException {
		JsonNode json = burn(objective).get("alerts").get(alert);
		assertThat(json.get("state").asText()).isEqualTo(state);
		assertRate(json.get("longWindow"), longBad, longTotal, budget);
		assertRate(json.get("shortWindow"), shortBad, shortTotal, budget);
	}

	@ParameterizedTest
	@CsvSource({ "answered, 725, 1064835, 0.001", "first-token, 10340, 234345, 0.05" })
	void matchesWorkedExampleOfErrorBudget(String objective, long bad, long total, double budget) throws IOException {
		JsonNode json = burn(objective).get("budget");
		assertRate(json.get("window"), bad, total, budget);
		assertThat(json.get("leftShare").asDouble()).isCloseTo(1 - (double) bad / total / budget, offset(TOLERANCE));
	}

	@Test
	void omitsValuesWithoutEnoughData() throws IOException {
		JsonNode recovery = burn("recovery");
		assertThat(recovery.findValuesAsText("state")).hasSize(10).containsOnly("UNDECIDED", "NOT_ENOUGH_DATA");
		assertThat(recovery.findValues("burnRate")).isEmpty();
		assertThat(recovery.findValues("leftShare")).isEmpty();
	}

	@Test
	void printsWhatTheManualShows() throws IOException {
		assertThat(run("report", "burn", "--scrapes", SCRAPES, "--bundle", BUNDLE)).isEqualTo(ExitCode.ALERT_BURNS);
		String manual = Files.readString(Path.of("../docs/BURN.md"));
		assertThat(manual.lines().map(String::strip))
			.containsSubsequence(text(this.out).lines().map(String::strip).toList());
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "--bundle " + BUNDLE, "--scrapes " + SCRAPES,
			"--scrapes " + SCRAPES + " --bundle absent.jsonc", "--scrapes absent --bundle " + BUNDLE,
			"--scrapes " + SCRAPES + " --save x --bundle " + BUNDLE, "--admin localhost:1 --bundle " + BUNDLE,
			"--admin 127.0.0.1:1 --every 0 --bundle " + BUNDLE, "--admin 127.0.0.1:1 --for -1 --bundle " + BUNDLE,
			"--scrapes " + SCRAPES + " --bundle " + BUNDLE + " --html absent/page.html" })
	void rejectsInvalidUsage(String arguments) {
		String[] words = Stream.concat(Stream.of("report", "burn"), Stream.of(arguments.split(" ")))
			.filter((word) -> !word.isEmpty())
			.toArray(String[]::new);
		assertThat(run(words)).isEqualTo(ExitCode.USAGE);
	}

	@Test
	void returnsOwnExitCodeWithoutUsableScrape(@TempDir Path empty) {
		assertThat(run("report", "burn", "--scrapes", empty.toString(), "--bundle", BUNDLE).value()).isEqualTo(3);
	}

	@Test
	void savesLiveScrapesForLaterReports(@TempDir Path directory) throws IOException {
		String liveReport = scrapeLive(directory);
		this.out.reset();
		assertThat(run("report", "burn", "--scrapes", directory.toString(), "--bundle", BUNDLE)).isEqualTo(ExitCode.OK);
		assertThat(liveReport).contains("bakery / answered").contains("VM_MISSING 127.0.0.1:1: no scrape at all");
		assertThat(text(this.out)).contains("bakery / answered").doesNotContain("127.0.0.1:1:");
	}

	private String scrapeLive(Path directory) {
		RouterMetrics metrics = new RouterMetrics(System.currentTimeMillis());
		metrics.recordObjectiveEvent(List.of(new Objective("answered", Objective.Kind.AVAILABILITY, 0.999, 0, 720)),
				Objective.Kind.AVAILABILITY, "bakery", 0);
		Vertx vertx = Vertx.vertx();
		try {
			HttpServer server = vertx.createHttpServer()
				.requestHandler((request) -> request.response().end(metrics.render()))
				.listen(0, "127.0.0.1")
				.toCompletionStage()
				.toCompletableFuture()
				.join();
			assertThat(run("report", "burn", "--admin", "127.0.0.1:1,127.0.0.1:" + server.actualPort(), "--save",
					directory.toString(), "--bundle", BUNDLE))
				.isEqualTo(ExitCode.OK);
			return text(this.out);
		}
		finally {
			vertx.close().toCompletionStage().toCompletableFuture().join();
		}
	}

	private JsonNode burn(String objective) throws IOException {
		assertThat(run("report", "burn", "--scrapes", SCRAPES, "--bundle", BUNDLE, "--json"))
			.isEqualTo(ExitCode.ALERT_BURNS);
		for (JsonNode burn : new ObjectMapper().readTree(text(this.out)).get("burns")) {
			if (burn.get("objective").asText().equals(objective)) {
				return burn;
			}
		}
		throw new AssertionError("no " + objective + " in " + text(this.out));
	}

	private static void assertRate(JsonNode rate, long bad, long total, double budget) {
		assertThat(rate.get("bad").asLong()).isEqualTo(bad);
		assertThat(rate.get("good").asLong()).isEqualTo(total - bad);
		assertThat(rate.get("burnRate").asDouble()).isCloseTo((double) bad / total / budget, offset(TOLERANCE));
	}

	private static String text(ByteArrayOutputStream stream) {
		return stream.toString(StandardCharsets.UTF_8);
	}

	private ExitCode run(String... arguments) {
		return new CommandRunner(Main.commands()).run(arguments,
				new PrintStream(this.out, true, StandardCharsets.UTF_8),
				new PrintStream(this.err, true, StandardCharsets.UTF_8));
	}

}
