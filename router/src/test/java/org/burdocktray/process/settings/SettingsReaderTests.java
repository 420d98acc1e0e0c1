package org.burdocktray.process.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;

import org.burdocktray.model.NetworkAddress;
import org.burdocktray.version.bundle.Operator;
import org.burdocktray.version.config.ConfigFault;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the example settings, the defaults and each kind of fault. Each fault is created
 * by replacing one text in the example.
 */
class SettingsReaderTests {

	private static final Path EXAMPLE = Path.of("..", "examples", "settings.jsonc");

	@Test
	void readsTheExampleSettings() {
		Settings settings = SettingsReader.read(EXAMPLE).get();
		assertThat(settings.vmName()).isEqualTo("ghent-1");
		assertThat(settings.callerAddress()).isEqualTo(new NetworkAddress("127.0.0.1", 8080));
		assertThat(settings.seedPeers()).hasSize(2);
		assertThat(settings.trustedOperators()).extracting(Operator::name).containsExactly("els", "jan");
	}

	@Test
	void usesDefaultsForMissingFields() throws IOException {
		String text = example().replaceAll("(?m)^.*(platformCallTimeoutMillis|seedPeers|logLevel).*$", "");
		Settings settings = SettingsReader.read("s", text).get();
		assertThat(settings.platformCallTimeoutMillis()).isEqualTo(2_000);
		assertThat(settings.seedPeers()).isEmpty();
		assertThat(settings.logLevel()).isEqualTo("INFO");
	}

	@ParameterizedTest(name = "{0} -> {1}")
	@CsvSource(delimiter = '|', quoteCharacter = '`', textBlock = """
			"vmName": "ghent-1"       | "vmNam": "ghent-1"        | 3  | vmNam
			"vmName": "ghent-1",      | //                        | 1  | vmName
			"vmName": "ghent-1"       | "vmName": 7               | 3  | vmName
			"vmName": "ghent-1"       | "vmName": ""              | 3  | vmName
			"dataCentre": "ghent"     | "dataCentre": "gh/ent"    | 4  | dataCentre
			"127.0.0.1:8080"          | "localhost:8080"          | 7  | callerAddress
			"127.0.0.1:8080"          | "127.0.0.1"               | 7  | callerAddress
			"127.0.0.1:8080"          | "127.0.0.1:70000"         | 7  | callerAddress
			"127.0.0.1:9090"          | "127.0.0.1:8080"          | 8  | adminAddress
			"127.0.0.1:7070"          | "0.0.0.0:7070"            | 9  | peerAddress
			"127.0.0.1:6060"          | {}                        | 12 | platformAddress
			Millis": 2000             | Millis": "2s"             | 13 | platformCallTimeoutMillis
			Millis": 2000             | Millis": 5                | 13 | platformCallTimeoutMillis
			Millis": 2000             | Seconds": 2               | 13 | platformCallTimeoutSeconds
			"127.0.0.1:7072"          | "ghent-2:7072"            | 16 | seedPeers[1]
			["127.0.0.1:7071", "127.0.0.1:7072"] | "all"          | 16 | seedPeers
			"name": "jan"             | "name": "els"             | 22 | trustedOperators[1].name
			"publicKey": "MCow        | "publicKey": "XXow        | 21 | trustedOperators[0].publicKey
			{ "name": "jan"           | { "name": "jan", "x": 1   | 22 | trustedOperators[1].x
			"logLevel": "INFO"        | "logLevel": "LOUD"        | 25 | logLevel
			"logLevel": "INFO"        | "vmName": "b"             | 25 | vmName
			"logLevel": "INFO"        | "logLevel": INFO          | 25 | logLevel
			""")
	void faultNamesTheFileLineAndField(String text, String replacement, int line, String fieldPath) throws IOException {
		assertThat(example()).contains(text);
		List<ConfigFault> faults = SettingsReader.read("s.jsonc", example().replaceFirst(quote(text), replacement))
			.getLeft();
		assertThat(faults).anySatisfy((fault) -> {
			assertThat(fault.toString()).startsWith("s.jsonc:" + line + ": " + fieldPath + ": expected ");
			assertThat(fault.found()).isNotBlank();
		});
	}

	@Test
	void refusesAnEmptyListOfTrustedOperators() throws IOException {
		String text = example().replaceAll("(?s)\"trustedOperators\": \\[.*?\\]", "\"trustedOperators\": []");
		assertThat(SettingsReader.read("s", text).getLeft()).extracting(ConfigFault::fieldPath)
			.containsExactly("trustedOperators");
	}

	private static String quote(String text) {
		return Pattern.quote(text);
	}

	private static String example() throws IOException {
		return Files.readString(EXAMPLE);
	}

}
