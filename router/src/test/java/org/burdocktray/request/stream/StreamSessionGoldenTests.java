package org.burdocktray.request.stream;

import org.burdocktray.golden.GoldenSession;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Compares complete sessions of a stream with golden files.
 */
class StreamSessionGoldenTests {

	@ParameterizedTest
	@ValueSource(
			strings = { "stage-dies", "stage-frozen-midway", "head-dies", "stage-frozen", "late-and-doubled-results",
					"engines-refuse", "no-stage-left", "caller-gone", "retries-forbidden", "deadline-passes",
					"only-stage-silent", "head-leaving", "silent-and-retries-forbidden", "silent-stages-by-turns",
					"last-stage-crashes-after-silences", "tokens-without-end", "silent-and-heads-leaving" })
	void sessionMatchesGoldenFile(String name) {
		String golden = GoldenSession.read("stream/" + name + ".txt");
		assertThat(GoldenSession.replay(golden, new StreamSessionInputHandler())).isEqualTo(golden);
	}

}
