package org.burdocktray.connection.http;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an answer that is delivered with the status of another one because its
 * own status line is written in an unusual way that the codec takes, and against replicas
 * that are not served because of a sound header.
 */
class StatusLinesTests {

	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 500", "OKHTTP/1.1 500 Internal Server Error", "HTTP/1.0 204 ", "HTTP/2.0 200 OK",
			"http/1.1 500 X", "Http/1.1\t500", "HTTP/1.1  0500 X", "HTTP/01.1 500" })
	void findsWhatTheCodecTakesForStatusLine(String text) {
		assertThat(StatusLines.findFirst(text)).isPresent();
	}

	@ParameterizedTest
	@ValueSource(strings = { "OK", "text/event-stream", "HTTP/1.1 proxy", "HTTP/1.1 192.168.0.10", "1.1 front",
			"HTTP/1.1", "timeout=10, max=100/200" })
	void leavesOtherTextsAlone(String text) {
		assertThat(StatusLines.findFirst(text)).isEmpty();
	}

}
