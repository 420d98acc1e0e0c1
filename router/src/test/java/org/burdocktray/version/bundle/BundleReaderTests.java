package org.burdocktray.version.bundle;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;

import org.burdocktray.version.config.ConfigFault;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests reading the example bundle, default values, each kind of fault, writing and
 * comparison. A fault is caused by replacing one text of the example.
 */
class BundleReaderTests {

	private static final Path EXAMPLE = Path.of("..", "examples", "bundle.jsonc");

	@Test
	void readsTheExample() {
		Bundle bundle = BundleReader.read(EXAMPLE).get();
		assertThat(bundle.engines()).extracting(Engine::name).containsExactly("ghent-e1", "ghent-e2", "leuven-e1");
		assertThat(bundle.organisations().get(1)).returns(1.0, Organisation::weight)
			.returns(1, Organisation::priority)
			.returns(List.of("panel-7b"), Organisation::models);
		assertThat(bundle.services().get(0).routes()).containsExactly(
				new Service.Route("POST", "/search", true, false, 5_000),
				new Service.Route("POST", "/deposits", false, true, 30_000));
	}

	@Test
	void fillsInDefaults() {
		Bundle bundle = BundleReader.read("b", "{\"version\": 1}").get();
		assertThat(bundle.limits())
			.isEqualTo(new Limits(1_048_576, 16_384, 10_000, 10_000, 1_000, 120_000, 30_000, 262_144, 0.1, 120_000));
		assertThat(bundle.models()).isEmpty();
	}

	@Test
	void writtenBundleIsReadBackUnchanged() {
		Bundle bundle = BundleReader.read(EXAMPLE).get();
		String text = BundleWriter.write(bundle);
		assertThat(BundleReader.read("b", text).get()).isEqualTo(bundle);
		assertThat(BundleWriter.write(BundleReader.read("b", text).get())).isEqualTo(text);
	}

	@ParameterizedTest(name = "{0} -> {1}")
	@CsvSource(delimiter = '|', quoteCharacter = '`',
			textBlock = """
					"version": 1                             | "version": 0                             | 3   | version
					"version": 1,                            | //                                       | 1   | version
					"layers": 24                             | "layer": 24                              | 6   | models[0].layer
					"layers": 24                             | "layers": 30                             | 6   | models[0].layers
					"layers": 24                             | "layers": 20                             | 19  | engines[1].toLayer
					"toLayer": 12                            | "toLayer": 0                             | 13  | engines[0].toLayer
					"fromLayer": 0                           | "fromLayer": 1                           | 6   | models[0].layers
					"fromLayer": 0                           | "fromLayer": true                        | 13  | engines[0].fromLayer
					"name": "ghent-e2"                       | "name": "ghent-e1"                       | 18  | engines[1].name
					"name": "ghent-b1"                       | "name": "ghent-e1"                       | 40  | services[0].replicas[0].name
					"127.0.0.1:9002"                         | "127.0.0.1:9001"                         | 18  | engines[1].address
					"127.0.0.1:9002"                         | "ghent-e2:9002"                          | 18  | engines[1].address
					"127.0.0.1:9101"                         | ":9101"                                  | 40  | services[0].replicas[0].address
					"model": "panel-7b"                      | "model": "panel-8b"                      | 12  | engines[0].model
					"tokensPerSecond": 900                   | "tokensPerSecond": -5                    | 14  | engines[0].tokensPerSecond
					"tokensPerSecond": 900                   | "tokensPerSecond": "900/s"               | 14  | engines[0].tokensPerSecond
					"checksFencing": true                    | "checksFencing": "yes"                   | 15  | engines[0].checksFencing
					"to": "leuven"                           | "to": "namur"                            | 32  | links[1].to
					"to": "leuven"                           | "to": "ghent"                            | 32  | links[1].to
					"oneWayMicros": 50                       | "oneWayMillis": 50                       | 31  | links[0].oneWayMillis
					"POST", "pathPrefix": "/s                | "post", "pathPrefix": "/s                | 45  | services[0].routes[0].method
					"/search"                                | "search"                                 | 45  | services[0].routes[0].pathPrefix
					"idempotent": true                       | "idempotent": 1                          | 45  | services[0].routes[0].idempotent
					"keyDigests": ["                         | "keyDigests": ["AB                       | 54  | organisations[0].keyDigests[0]
					"weight": 3                              | "weight": 0                              | 55  | organisations[0].weight
					"requestsPerSecond": 20,                 | //                                       | 57  | organisations[1].requestsPerSecond
					"models": ["panel-7b"]                   | "models": ["gone"]                       | 60  | organisations[1].models[0]
					"name": "yanki-ses"                      | "name": "proefpot"                       | 58  | organisations[1].name
					"name": "jan", "publicKey": "MCow        | "name": "jan", "publicKey": "MCoX        | 66  | operators[1].publicKey
					"target": 0.999                          | "target": 1                              | 70  | objectives[0].target
					"kind": "RECOVERY"                       | "kind": "REPAIR"                         | 73  | objectives[3].kind
					"thresholdMillis": 720                   | "thresholdMillis": 0                     | 71  | objectives[1].thresholdMillis
					"maxBodyBytes": 1048576                  | "maxBodyBytes": "1MB"                    | 78  | limits.maxBodyBytes
					"retryBudgetRatio": 0.1                  | "retryBudgetRatio": 1.5                  | 79  | limits.retryBudgetRatio
					"retryBudgetRatio": 0.1                  | "maxBodyBytes": 1048576                  | 79  | limits.maxBodyBytes
					""")
	void reportsFileLineAndFieldOfAFault(String text, String replacement, int line, String fieldPath)
			throws IOException {
		String faulty = example().replaceFirst(Pattern.quote(text), replacement);
		assertThat(faulty).isNotEqualTo(example());
		assertThat(BundleReader.read("b.jsonc", faulty).getLeft()).map(ConfigFault::toString)
			.anyMatch((fault) -> fault.startsWith("b.jsonc:" + line + ": " + fieldPath + ": expected "));
	}

	@Test
	void formatsAFaultWithItsExactLine() throws IOException {
		String faulty = example().replace("\"weight\": 3", "\"weight\": -5");
		assertThat(BundleReader.read("b.jsonc", faulty).getLeft()).map(ConfigFault::toString)
			.containsExactly("b.jsonc:55: organisations[0].weight: expected a number above 0, found -5");
	}

	@Test
	void reportsTheFaultsOfAllSectionsTogether() throws IOException {
		String faulty = example().replace("\"weight\": 3", "\"weight\": 0")
			.replace("\"target\": 0.999", "\"target\": 2")
			.replace("\"oneWayMicros\": 50", "\"oneWayMicros\": -1");
		assertThat(BundleReader.read("b", faulty).getLeft()).extracting(ConfigFault::fieldPath)
			.containsExactly("links[0].oneWayMicros", "organisations[0].weight", "objectives[0].target");
	}

	@Test
	void requiresLinksBetweenTheStagesOfAModel() throws IOException {
		String unlinked = example().replaceFirst("(?s)\"links\": \\[.*?\\],\n", "");
		assertThat(BundleReader.read("b", unlinked).getLeft()).map(ConfigFault::found)
			.containsExactly("a path of engines that ends at layer 12");
	}

	@ParameterizedTest
	@CsvSource({ "POST,/search,true", "POST,/search/deep,true", "POST,/searching,false", "GET,/anything,true",
			"POST,/deposits,false", "DELETE,/deposits,false" })
	void treatsAnUnlistedUnsafeCallAsNonIdempotent(String method, String path, boolean idempotent) {
		Service service = BundleReader.read(EXAMPLE).get().services().get(0);
		Service.Route route = ServiceRouteFinder.find(service, method, path);
		assertThat(route.idempotent()).isEqualTo(idempotent);
		assertThat(route.keyRequired()).isEqualTo(!idempotent);
	}

	@Test
	void reportsDifferencesByFieldPath() throws IOException {
		Bundle before = BundleReader.read(EXAMPLE).get();
		String changed = example().replace("\"tokensPerSecond\": 900", "\"tokensPerSecond\": 950")
			.replace("\"name\": \"recovery\"", "\"name\": \"repair\"");
		List<BundleDiff.Change> changes = BundleDiff.between(before, BundleReader.read("b", changed).get());
		assertThat(changes).extracting(BundleDiff.Change::fieldPath)
			.containsExactly("engines[ghent-e1].tokensPerSecond", "objectives[recovery]", "objectives[repair]");
		assertThat(changes.get(0)).hasToString("engines[ghent-e1].tokensPerSecond: 900.0 -> 950.0");
	}

	private static String example() throws IOException {
		return Files.readString(EXAMPLE);
	}

}
