package org.burdocktray.connection.http;

import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import io.netty.handler.codec.http.HttpMethod;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an answer with the status of one run and the content of another, since a
 * server has broken an answer off within its head and the codec has read on in the one
 * behind it (incident MIXED, second report).
 */
class MergedAnswerCheckTests {

	private static final Map<String, AnswerText> BROKEN_OFF = Map.of("success",
			AnswerText.plain(200, "r1", "run-1", "ok"), "success, signature first",
			AnswerText.signatureFirst(200, "r1", "run-1", "ok"), "failure",
			AnswerText.plain(500, "r1", "run-1", "failed"), "rejection",
			AnswerText.signatureFirst(503, "r1", "run-1", "full"), "chunked",
			AnswerText.chunked(200, "r1", "run-1", "a body in chunks", ""), "interim",
			AnswerText.plain(200, "r1", "run-1", "ok").behindInterim(103), "without content",
			AnswerText.withoutBody(204, "r1", "run-1", ""));

	private static final Map<String, AnswerText> NEXT = Map.of("failure",
			AnswerText.plain(500, "r2", "run-2", "failed"), "rejection", AnswerText.plain(503, "r2", "run-2", "full"),
			"success", AnswerText.plain(200, "r2", "run-2", "the second body"), "signature first",
			AnswerText.signatureFirst(500, "r2", "run-2", "failed"), "chunked",
			AnswerText.chunked(500, "r2", "run-2", "a failure in chunks", "T: x\r\n"), "without content",
			AnswerText.withoutBody(204, "r2", "run-2", ""), "interim",
			AnswerText.plain(500, "r2", "run-2", "failed").behindInterim(100));

	/** Guards against a 500 that is read as 200, also byte by byte. */
	@ParameterizedTest(name = "{0} broken off before {1}")
	@MethodSource("pairs")
	void answerBehindBrokenOffHeadIsReadAsItIsOrNotAtAll(String first, String second) {
		AnswerText brokenOff = BROKEN_OFF.get(first);
		AnswerText next = NEXT.get(second);
		for (int length = 0; length < brokenOff.headLength(); length++) {
			String beginning = brokenOff.text().substring(0, length);
			assertOwnAnswerOrEnd(List.of(beginning, next.text()), next);
			assertOwnAnswerOrEnd(List.of(beginning + next.text()), next);
			assertOwnAnswerOrEnd((beginning + next.text()).chars().mapToObj(Character::toString).toList(), next);
		}
	}

	/** Guards against a status of a third answer behind two that break off. */
	@Test
	void answerBehindTwoBrokenOffHeadsIsReadAsItIsOrNotAtAll() {
		AnswerText brokenOff = BROKEN_OFF.get("success, signature first");
		AnswerText next = NEXT.get("failure");
		for (int first = 0; first < brokenOff.headLength(); first++) {
			for (int second = 0; second < brokenOff.headLength(); second++) {
				String beginnings = brokenOff.text().substring(0, first) + brokenOff.text().substring(0, second);
				assertOwnAnswerOrEnd(List.of(beginnings + next.text()), next);
			}
		}
	}

	/** Guards against a body whose rest is read as a head. */
	@ParameterizedTest(name = "{0} interrupted by {1}")
	@MethodSource("pairs")
	void answerWithinHeadOfAnotherIsReadAsItIsOrNotAtAll(String first, String second) {
		AnswerText interrupted = BROKEN_OFF.get(first);
		AnswerText next = NEXT.get(second);
		for (int length = 1; length < interrupted.headLength(); length++) {
			assertOwnAnswerOrEnd(List
				.of(interrupted.text().substring(0, length) + next.text() + interrupted.text().substring(length)),
					next);
		}
	}

	@Test
	void refusedAnswerIsReportedWithItsStatusAndWhatItHolds() {
		try (CheckedChannel channel = new CheckedChannel()) {
			channel.send(HttpMethod.GET, "r2");
			channel.receive("HTTP/1.1 200 OK\r\nSignature: ru" + NEXT.get("failure").text());
			assertThat(channel.takeAnswers()).isEmpty();
			assertThat(channel.refused()).singleElement().satisfies((answer) -> {
				assertThat(answer.status()).isEqualTo(200);
				assertThat(answer.evidence()).isEqualTo("HTTP/1.1 500");
			});
		}
	}

	/** Guards against the loss of sound answers that name a version of HTTP. */
	@ParameterizedTest
	@ValueSource(strings = { "Via: HTTP/1.1 proxy", "Via: 1.1 a, HTTP/1.0 b (HTTP/1.1)", "Upgrade: HTTP/2.0",
			"Server: HTTP/1.1", "X-Version: HTTP/1.1 2000", "X-Path: /HTTP/11 500" })
	void headerThatNamesProtocolIsLeftAlone(String line) {
		AnswerText sound = AnswerText.withoutBody(200, "r1", "run-1", line + "\r\nContent-Length: 0\r\n");
		try (CheckedChannel channel = new CheckedChannel()) {
			channel.send(HttpMethod.GET, "r1");
			channel.receive(sound.text());
			assertThat(channel.takeAnswers()).containsExactly(sound.read());
			assertThat(channel.isOpen()).isTrue();
		}
	}

	/** Guards against the loss of sound answers that came through a proxy. */
	@ParameterizedTest
	@ValueSource(strings = { "Via: HTTP/1.1 192.168.0.1", "Via: HTTP/1.1 200.example" })
	void proxyWhoseNameBeginsWithThreeDigitsIsLeftAlone(String line) {
		headerThatNamesProtocolIsLeftAlone(line);
	}

	/** Guards against the loss of sound answers whose bodies hold answers. */
	@Test
	void bodyThatHoldsAnswerIsLeftAlone() {
		AnswerText sound = AnswerText.plain(200, "r1", "run-1", NEXT.get("failure").text());
		try (CheckedChannel channel = new CheckedChannel()) {
			channel.send(HttpMethod.GET, "r1");
			channel.receiveByteByByte(sound.text());
			assertThat(channel.takeAnswers()).containsExactly(sound.read());
			assertThat(channel.isOpen()).isTrue();
		}
	}

	static Stream<Arguments> pairs() {
		return BROKEN_OFF.keySet()
			.stream()
			.sorted()
			.flatMap((first) -> NEXT.keySet().stream().sorted().map((second) -> Arguments.of(first, second)));
	}

	private static void assertOwnAnswerOrEnd(List<String> reads, AnswerText own) {
		CheckedChannel channel = new CheckedChannel();
		try (channel) {
			channel.send(HttpMethod.GET, "r1");
			channel.receive(AnswerText.plain(200, "r1", "run-1", "ok").text());
			assertThat(channel.takeAnswers()).hasSize(1);
			channel.send(HttpMethod.GET, "r2");
			reads.forEach(channel::receive);
			List<ReadAnswer> answers = channel.takeAnswers();
			assertThat(answers).as("answers read from %s", reads).isSubsetOf(own.read());
			assertThat(!answers.isEmpty() || !channel.isOpen()).as("answered or ended after %s", reads).isTrue();
		}
		assertThat(channel.allocatedBytes()).as("bytes that were not released").isZero();
	}

}
