package org.burdocktray.bench.golden;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Compares the events of sessions with their golden files.
 */
class GoldenSessionTests {

	static Stream<String> names() {
		return GoldenSessions.SESSIONS.keySet().stream();
	}

	@ParameterizedTest
	@MethodSource("names")
	void eventsMatchGoldenFile(String name) throws IOException {
		try (InputStream golden = getClass().getResourceAsStream("/golden/" + name)) {
			assertThat(golden).as("golden file %s", name).isNotNull();
			String expected = new String(golden.readAllBytes(), StandardCharsets.UTF_8);
			assertThat(GoldenSessions.SESSIONS.get(name).get()).containsExactlyElementsOf(expected.lines().toList());
		}
	}

}
