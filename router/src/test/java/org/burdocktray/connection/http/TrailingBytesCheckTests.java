package org.burdocktray.connection.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import io.netty.handler.codec.http.HttpMethod;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a request that is sent on a connection which holds the beginning of an
 * answer, and so loses its own, and against sound connections that are closed.
 */
class TrailingBytesCheckTests {

	private static final AnswerText FIRST = AnswerText.plain(200, "r1", "run-1", "the first body");

	private static final AnswerText SECOND = AnswerText.signatureFirst(200, "r1", "run-1", "ok");

	/** Guards against a connection that counts as idle with half of an answer. */
	@ParameterizedTest
	@EnumSource
	void idleConnectionThatHoldsBeginningOfAnswerIsClosed(Moment moment) {
		List<Integer> missed = IntStream.range(1, SECOND.headLength())
			.filter((length) -> staysOpen(moment, SECOND.text().substring(0, length)))
			.boxed()
			.toList();
		assertThat(missed).as("lengths after which the connection counts as idle").isEmpty();
	}

	/** Guards against the loss of sound answers that come in pieces. */
	@ParameterizedTest
	@MethodSource("soundAnswers")
	void soundAnswerThatComesByteByByteIsReadAndLeavesTheConnectionOpen(AnswerText sound) {
		CheckedChannel channel = new CheckedChannel();
		try (channel) {
			for (int number = 0; number < 3; number++) {
				channel.send(HttpMethod.GET, "r1");
				channel.receiveByteByByte(sound.text());
				assertThat(channel.takeAnswers()).containsExactly(sound.read());
				assertThat(channel.isOpen()).isTrue();
			}
		}
		assertThat(channel.allocatedBytes()).as("bytes that were not released").isZero();
	}

	/** Guards against the loss of sound answers that come in pieces. */
	@ParameterizedTest
	@MethodSource("seeds")
	void soundAnswersInRandomPiecesAreReadAndLeaveTheConnectionOpen(int seed) {
		Random random = new Random(seed);
		List<AnswerText> sound = new ArrayList<>(soundAnswers().toList());
		CheckedChannel channel = new CheckedChannel();
		try (channel) {
			for (int number = 0; number < 20; number++) {
				AnswerText drawn = sound.get(random.nextInt(sound.size()));
				channel.send(HttpMethod.GET, "r1");
				channel.receiveInPieces(drawn.text(), random);
				assertThat(channel.takeAnswers()).containsExactly(drawn.read());
				assertThat(channel.isOpen()).isTrue();
			}
		}
		assertThat(channel.refused()).isEmpty();
		assertThat(channel.allocatedBytes()).as("bytes that were not released").isZero();
	}

	/** Guards against a content length that is taken for that of a body. */
	@Test
	void soundAnswerToHeadRequestLeavesTheConnectionOpen() {
		AnswerText sound = AnswerText.withoutBody(200, "r1", "run-1", "Content-Length: 50\r\n");
		try (CheckedChannel channel = new CheckedChannel()) {
			channel.send(HttpMethod.HEAD, "r1");
			channel.receiveByteByByte(sound.text());
			assertThat(channel.takeAnswers()).containsExactly(sound.read());
			assertThat(channel.isOpen()).isTrue();
			channel.send(HttpMethod.GET, "r1");
			channel.receiveByteByByte(FIRST.text());
			assertThat(channel.takeAnswers()).containsExactly(FIRST.read());
			assertThat(channel.isOpen()).isTrue();
		}
	}

	/** Guards against the loss of answers that end with their connection. */
	@Test
	void soundAnswerThatEndsWithTheConnectionIsRead() {
		AnswerText sound = AnswerText.closeDelimited(200, "r1", "run-1", "a body of no length");
		CheckedChannel channel = new CheckedChannel();
		try (channel) {
			channel.send(HttpMethod.GET, "r1");
			channel.receiveByteByByte(sound.text());
			assertThat(channel.isOpen()).isTrue();
			assertThat(channel.takeAnswers()).isEmpty();
		}
		assertThat(channel.takeAnswers()).containsExactly(sound.read());
		assertThat(channel.allocatedBytes()).as("bytes that were not released").isZero();
	}

	/** Guards against an attempt that is lost since its answer comes in pieces. */
	@Test
	void beginningOfAnswerLeavesTheConnectionOpenWhileRequestIsInProgress() {
		for (int length = 1; length < FIRST.text().length(); length++) {
			try (CheckedChannel channel = new CheckedChannel()) {
				channel.send(HttpMethod.GET, "r1");
				channel.receive(FIRST.text().substring(0, length));
				assertThat(channel.isOpen()).as("length %d", length).isTrue();
				channel.receive(FIRST.text().substring(length));
				assertThat(channel.takeAnswers()).containsExactly(FIRST.read());
				assertThat(channel.isOpen()).as("length %d", length).isTrue();
			}
		}
	}

	/** Guards against an attempt that is lost behind an interim answer. */
	@Test
	void beginningOfAnswerBehindInterimOneLeavesTheConnectionOpen() {
		String interim = "HTTP/1.1 100 Continue\r\n\r\n";
		for (int length = 1; length < FIRST.text().length(); length++) {
			try (CheckedChannel channel = new CheckedChannel()) {
				channel.send(HttpMethod.GET, "r1");
				channel.receive(interim + FIRST.text().substring(0, length));
				channel.receive(FIRST.text().substring(length));
				assertThat(channel.takeAnswers()).containsExactly(FIRST.read());
				assertThat(channel.isOpen()).as("length %d", length).isTrue();
			}
		}
	}

	static Stream<AnswerText> soundAnswers() {
		return Stream.of(FIRST, AnswerText.plain(500, "r1", "run-2", "failed"),
				AnswerText.plain(503, "r1", "run-3", ""), AnswerText.chunked(200, "r1", "run-4", "x".repeat(50), ""),
				AnswerText.chunked(200, "r1", "run-5", "", ""),
				AnswerText.chunked(200, "r1", "run-6", "with trailers", "T: 1\r\nU: 2\r\n"), FIRST.behindInterim(100),
				FIRST.behindInterim(103).behindInterim(102),
				AnswerText.chunked(500, "r1", "run-7", "failed", "").behindInterim(103),
				AnswerText.withoutBody(204, "r1", "run-8", ""),
				AnswerText.withoutBody(304, "r1", "run-9", "Content-Length: 50\r\n"));
	}

	static IntStream seeds() {
		return IntStream.rangeClosed(1, 200);
	}

	private static boolean staysOpen(Moment moment, String beginning) {
		CheckedChannel channel = new CheckedChannel();
		try (channel) {
			channel.send(HttpMethod.GET, "r1");
			moment.receive(channel, beginning);
			assertThat(channel.takeAnswers()).containsExactly(FIRST.read());
			return channel.isOpen();
		}
		finally {
			assertThat(channel.allocatedBytes()).as("bytes that were not released").isZero();
		}
	}

	/**
	 * How the beginning of the second answer comes.
	 */
	enum Moment {

		/** In the read of the first answer. */
		SAME_READ {

			@Override
			void receive(CheckedChannel channel, String beginning) {
				channel.receive(FIRST.text() + beginning);
			}

		},

		/** In a read of its own. */
		OWN_READ {

			@Override
			void receive(CheckedChannel channel, String beginning) {
				channel.receive(FIRST.text());
				channel.receive(beginning);
			}

		},

		/** Byte by byte, in reads of their own. */
		BYTE_BY_BYTE {

			@Override
			void receive(CheckedChannel channel, String beginning) {
				channel.receive(FIRST.text());
				channel.receiveByteByByte(beginning);
			}

		},

		/** In the read of the last bytes of a first answer that was torn in its head. */
		BEHIND_TORN_HEAD {

			@Override
			void receive(CheckedChannel channel, String beginning) {
				channel.receive(FIRST.text().substring(0, 10));
				channel.receive(FIRST.text().substring(10) + beginning);
			}

		},

		/** In the read of the last bytes of a first answer that was torn in its body. */
		BEHIND_TORN_BODY {

			@Override
			void receive(CheckedChannel channel, String beginning) {
				int torn = FIRST.text().length() - 3;
				channel.receive(FIRST.text().substring(0, torn));
				channel.receive(FIRST.text().substring(torn) + beginning);
			}

		};

		abstract void receive(CheckedChannel channel, String beginning);

	}

}
