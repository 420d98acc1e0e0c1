package org.burdocktray.process.serve.gateway;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.burdocktray.model.NetworkAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that are lost, or get the answer of another one, because a
 * replica sends an answer a second time on a kept connection.
 */
class ForeignAnswerFilterTests {

	private static final int REQUESTS = 20;

	private static final double COPIED_SHARE = 0.5;

	private static final double BROKEN_SHARE = 0.05;

	private final List<ForeignAnswer> foreignAnswers = new ArrayList<>();

	private final CarriedRequests carried = new CarriedRequests();

	private final EmbeddedChannel channel = open();

	@AfterEach
	void close() {
		this.channel.finishAndReleaseAll();
	}

	@Test
	void answerBehindForeignOneIsRead() {
		exchange("r1");
		send("r2");
		receive(answer("r1", 200, "first") + answer("r2", 200, "second"));
		assertThat(readAnswers()).containsExactly("r2 200 second");
		assertThat(this.foreignAnswers).singleElement().satisfies((answer) -> {
			assertThat(answer.foundId()).isEqualTo("r1");
			assertThat(answer.expectedId()).contains("r2");
		});
	}

	@Test
	void copyThatComesWhileNothingIsInProgressIsPassedOver() {
		send("r1");
		receive(answer("r1", 200, "first") + answer("r1", 500, "again"));
		assertThat(readAnswers()).containsExactly("r1 200 first");
		send("r2");
		receive(answer("r2", 200, "second"));
		assertThat(readAnswers()).containsExactly("r2 200 second");
	}

	@Test
	void answerBehindInterimOneIsRead() {
		send("r1");
		receive("HTTP/1.1 100 Continue\r\n\r\n" + answer("r1", 200, "first"));
		assertThat(readAnswers()).containsExactly("null 100 ", "r1 200 first");
	}

	@Test
	void answerOfUnknownRequestIsLeftToTheClient() {
		exchange("r0");
		send("r1");
		receive(answer("other", 200, "x"));
		assertThat(readAnswers()).containsExactly("other 200 x");
	}

	@Test
	void answerWithSeveralIdsIsLeftToTheClient() {
		exchange("r0");
		send("r1");
		receive("HTTP/1.1 200 OK\r\nId: r0\r\nId: r1\r\nContent-Length: 0\r\n\r\n");
		assertThat(readAnswers()).containsExactly("r0 200 ");
	}

	@Test
	void foreignAnswerThatDoesNotEndEndsTheIdleConnection() {
		exchange("r0");
		receive("HTTP/1.1 200 OK\r\nId: r0\r\nContent-Length: 5\r\n\r\n");
		this.channel.advanceTimeBy(ForeignAnswerFilter.MAX_FOREIGN_MILLIS, TimeUnit.MILLISECONDS);
		this.channel.runScheduledPendingTasks();
		assertThat(this.channel.isOpen()).isFalse();
	}

	@Test
	void answerWithoutIdIsLeftToTheClient() {
		send("r1");
		receive("HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n");
		assertThat(readAnswers()).containsExactly("null 503 ");
	}

	@Test
	void tooManyForeignAnswersAreLeftToTheClient() {
		exchange("r0");
		send("r1");
		receive(answer("r0", 200, "x").repeat(AnswerMatcher.MAX_FOREIGN_ANSWERS + 1));
		assertThat(readAnswers()).containsExactly("r0 200 x");
	}

	@Test
	void foreignAnswerBeyondTheByteLimitEndsTheConnection() {
		exchange("r0");
		send("r1");
		receive(answer("r0", 200, "x".repeat((int) AnswerMatcher.MAX_FOREIGN_BYTES + 1)));
		assertThat(this.channel.isOpen()).isFalse();
	}

	@Test
	void foreignAnswerThatDoesNotEndEndsTheConnection() {
		exchange("r0");
		send("r1");
		String foreign = answer("r0", 200, "first");
		receive(foreign.substring(0, foreign.length() - 1));
		this.channel.advanceTimeBy(ForeignAnswerFilter.MAX_FOREIGN_MILLIS - 1, TimeUnit.MILLISECONDS);
		this.channel.runScheduledPendingTasks();
		assertThat(this.channel.isOpen()).isTrue();
		this.channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
		this.channel.runScheduledPendingTasks();
		assertThat(this.channel.isOpen()).isFalse();
	}

	@Test
	void nothingIsPassedOverBehindHeadRequest() {
		write(HttpMethod.HEAD, "r1");
		receive("HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 5\r\n\r\n");
		assertThat(readAnswers()).containsExactly("r1 200 ");
		send("r2");
		receive("HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 0\r\n\r\n");
		assertThat(readAnswers()).containsExactly("r1 200 ");
	}

	// Run by hand with more seeds: -Dforeign.answer.seeds=10000
	@ParameterizedTest
	@MethodSource("seeds")
	void eachRequestGetsItsOwnAnswerOrNone(int seed) {
		Random random = new Random(seed);
		StringBuilder pending = new StringBuilder();
		for (int number = 0; number < REQUESTS && this.channel.isOpen(); number++) {
			send("r" + number);
			String own = answer("r" + number, random.nextBoolean() ? 200 : 500,
					"x".repeat(random.nextInt(50)) + number);
			boolean isBroken = random.nextDouble() < BROKEN_SHARE;
			String sent = isBroken ? own.substring(0, random.nextInt(own.length())) : own;
			receiveInPieces(pending + sent, random);
			pending.setLength(0);
			if (isBroken) {
				this.channel.close();
			}
			else if (random.nextDouble() < COPIED_SHARE) {
				int early = random.nextInt(own.length() + 1);
				receiveInPieces(own.substring(0, early), random);
				pending.append(own.substring(early));
			}
			else if (number > 0 && random.nextInt(10) == 0) {
				pending.append(answer("r" + random.nextInt(number), 200, "once more"));
			}
			assertOwnAnswer(number, own, isBroken);
		}
	}

	static IntStream seeds() {
		return IntStream.rangeClosed(1, Integer.getInteger("foreign.answer.seeds", 300));
	}

	private void assertOwnAnswer(int number, String own, boolean isBroken) {
		String body = own.substring(own.indexOf("\r\n\r\n") + 4);
		String expected = "r" + number + " " + own.substring(9, 12) + " " + body;
		List<String> answers = readAnswers();
		if (isBroken) {
			assertThat(answers).isSubsetOf(expected);
			return;
		}
		assertThat(answers).containsExactly(expected);
	}

	private EmbeddedChannel open() {
		EmbeddedChannel opened = new EmbeddedChannel(new HttpClientCodec(), new ForeignAnswerFilter(
				new NetworkAddress("127.0.0.1", 1), 2, this.carried, "Id", this.foreignAnswers::add));
		opened.freezeTime();
		return opened;
	}

	private void exchange(String id) {
		send(id);
		receive(answer(id, 200, ""));
		assertThat(readAnswers()).hasSize(1);
	}

	private void send(String id) {
		write(HttpMethod.GET, id);
	}

	private void write(HttpMethod method, String id) {
		this.carried.add(id);
		HttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/");
		request.headers().set("Id", id);
		this.channel.writeOutbound(request);
		this.channel.releaseOutbound();
	}

	private void receive(String text) {
		this.channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
	}

	private void receiveInPieces(String text, Random random) {
		int from = 0;
		while (from < text.length()) {
			int to = Math.min(text.length(), from + 1 + random.nextInt(60));
			receive(text.substring(from, to));
			from = to;
		}
	}

	private static String answer(String id, int status, String body) {
		return "HTTP/1.1 " + status + " Status\r\nId: " + id + "\r\nContent-Length: " + body.length() + "\r\n\r\n"
				+ body;
	}

	// Returns the complete answers that have reached the client.
	private List<String> readAnswers() {
		List<String> answers = new ArrayList<>();
		StringBuilder current = new StringBuilder();
		for (Object message = this.channel.readInbound(); message != null; message = this.channel.readInbound()) {
			if (message instanceof HttpResponse response) {
				current.append(response.headers().get("Id")).append(' ').append(response.status().code()).append(' ');
			}
			if (message instanceof HttpContent content) {
				current.append(content.content().toString(StandardCharsets.ISO_8859_1));
			}
			if (message instanceof LastHttpContent) {
				answers.add(current.toString());
				current.setLength(0);
			}
			ReferenceCountUtil.release(message);
		}
		return answers;
	}

}
