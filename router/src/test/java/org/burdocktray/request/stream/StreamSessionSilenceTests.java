package org.burdocktray.request.stream;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that an attempt which was silent for a moment and goes on is not given up for a
 * successor that never reaches the engines.
 */
class StreamSessionSilenceTests {

	@Test
	void attemptThatWentOnIsDeliveredWhenSuccessorStaysSilentAndNoOtherIsAllowed() {
		assertThat(replay("at 0 ms: start", "at 40 ms: token 1 0 the", "at 1040 ms: tick",
				"at 1440 ms: probed 1 head-1", "at 1500 ms: token 1 1 culture", "at 1510 ms: done 1 stop",
				"at 1600 ms: forbid-retries", "at 2500 ms: tick", "at 2900 ms: probed 2 head-2", "at 4000 ms: tick",
				"at 4400 ms: probed 2 head-2", "at 30001 ms: tick"))
			.contains("complete stop with 2 tokens");
	}

	@Test
	void firstSilentAttemptIsResumedWhenSecondSuccessorIsRefused() {
		assertThat(replay("at 0 ms: start", "at 40 ms: token 1 0 the", "at 1040 ms: tick",
				"at 1440 ms: probed 1 tail-1", "at 2500 ms: tick", "at 2900 ms: probed 2 tail-1 tail-2",
				"at 2950 ms: token 1 1 culture", "at 2960 ms: done 1 stop", "at 2970 ms: refused 3 503",
				"at 2980 ms: refused 4 503", "at 30001 ms: tick"))
			.contains("complete stop with 2 tokens");
	}

	private static List<String> replay(String... inputs) {
		StreamSessionInputHandler handler = new StreamSessionInputHandler();
		return List.of(inputs).stream().flatMap((input) -> handler.handle(input).stream()).toList();
	}

}
