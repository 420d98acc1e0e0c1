package org.burdocktray.standins.gateway;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Random;
import java.util.WeakHashMap;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;

/**
 * Sends second answers of a stand-in, at moments drawn by seed: some in whole, and some
 * of which only the beginning comes before the next answer. Invariant: nothing is sent
 * between the parts of a second answer, except the next answer between those of a partial
 * one. Thread safety: confined to the event loop of the stand-in.
 */
final class SecondAnswers {

	private static final int MAX_DELAY_MILLIS = 60;

	/** Three in the status line, two in each header, the empty line and the body. */
	private static final int FIELD_COUNT = 11;

	private final double wholeShare;

	private final double partialShare;

	private final Random random;

	/** Separate, so that the whole second answers of a seed stay as they were. */
	private final Random partialRandom;

	/** What is sent later on a connection. */
	private final Map<HttpConnection, Owed> owed = new WeakHashMap<>();

	/**
	 * Creates the second answers of a stand-in.
	 * @param wholeShare the share of answers to which a whole second one is sent
	 * @param partialShare the share of the others to which a partial second one is sent
	 * @param seed the seed of the draws
	 */
	SecondAnswers(double wholeShare, double partialShare, long seed) {
		this.wholeShare = wholeShare;
		this.partialShare = partialShare;
		this.random = new Random(seed);
		this.partialRandom = new Random(~seed);
	}

	/**
	 * Sends what is owed from earlier answers, before the answer to the next request.
	 * @param connection the connection on which the next request has come
	 */
	void onRequest(HttpConnection connection) {
		Owed parts = this.owed.get(connection);
		if (parts == null) {
			return;
		}
		write(connection, parts.beforeAnswer);
		parts.beforeAnswer = "";
		if (parts.behindAnswer.isEmpty()) {
			this.owed.remove(connection);
		}
	}

	/**
	 * Sends what is owed behind an answer, and draws whether a second answer to it is
	 * sent, and when.
	 * @param vertx runs the event loop
	 * @param connection the connection on which the answer was sent
	 * @param text the second answer
	 */
	void onAnswer(Vertx vertx, HttpConnection connection, String text) {
		Owed parts = this.owed.remove(connection);
		if (parts != null) {
			write(connection, parts.beforeAnswer + parts.behindAnswer);
		}
		if (this.random.nextDouble() < this.wholeShare) {
			sendWhole(vertx, connection, text);
			return;
		}
		if (this.partialRandom.nextDouble() < this.partialShare) {
			sendPartial(vertx, connection, text);
		}
	}

	private void sendWhole(Vertx vertx, HttpConnection connection, String text) {
		switch (Moment.values()[this.random.nextInt(Moment.values().length)]) {
			case AT_ONCE -> writeOrOwe(connection, text);
			case LATER -> writeOrOweLater(vertx, connection, text, this.random);
			case WITH_THE_NEXT_REQUEST -> owe(connection, text);
			case SPLIT -> {
				int early = this.random.nextInt(text.length());
				writeOrOwe(connection, text.substring(0, early));
				owe(connection, text.substring(early));
			}
		}
	}

	private void sendPartial(Vertx vertx, HttpConnection connection, String text) {
		int length = drawPartLength(text);
		String beginning = text.substring(0, length);
		switch (PartialMoment.values()[this.partialRandom.nextInt(PartialMoment.values().length)]) {
			case BROKEN_OFF_AT_ONCE -> writeOrOwe(connection, beginning);
			case BROKEN_OFF_LATER -> writeOrOweLater(vertx, connection, beginning, this.partialRandom);
			case BROKEN_OFF_WITH_THE_NEXT_REQUEST -> owe(connection, beginning);
			case INTERLEAVED -> oweAroundAnswer(connection, beginning, text.substring(length));
		}
	}

	// A field first, so that an answer is cut as often in a short field as in a long one.
	private int drawPartLength(String text) {
		String[] fields = text.split("(?<=[ \n])", FIELD_COUNT);
		int number = this.partialRandom.nextInt(fields.length);
		int length = this.partialRandom.nextInt(fields[number].length());
		for (int index = 0; index < number; index++) {
			length += fields[index].length();
		}
		return Math.max(1, length);
	}

	private void writeOrOweLater(Vertx vertx, HttpConnection connection, String text, Random delays) {
		vertx.setTimer(1 + delays.nextInt(MAX_DELAY_MILLIS), (timer) -> writeOrOwe(connection, text));
	}

	// Not between the parts of another one.
	private void writeOrOwe(HttpConnection connection, String text) {
		if (this.owed.containsKey(connection)) {
			owe(connection, text);
			return;
		}
		write(connection, text);
	}

	private void owe(HttpConnection connection, String text) {
		Owed parts = this.owed.computeIfAbsent(connection, (key) -> new Owed());
		if (parts.behindAnswer.isEmpty()) {
			parts.beforeAnswer += text;
			return;
		}
		parts.behindAnswer += text;
	}

	private void oweAroundAnswer(HttpConnection connection, String beginning, String rest) {
		owe(connection, beginning);
		this.owed.get(connection).behindAnswer += rest;
	}

	// Past the server's own encoder. A closed connection has no handlers.
	private static void write(HttpConnection connection, String text) {
		ChannelHandlerContext first = ((ConnectionBase) connection).channel().pipeline().firstContext();
		if (first != null && !text.isEmpty()) {
			first.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
		}
	}

	private enum Moment {

		AT_ONCE, LATER, WITH_THE_NEXT_REQUEST, SPLIT

	}

	private enum PartialMoment {

		BROKEN_OFF_AT_ONCE, BROKEN_OFF_LATER, BROKEN_OFF_WITH_THE_NEXT_REQUEST, INTERLEAVED

	}

	/**
	 * What is sent on a connection before the next answer and behind it.
	 */
	private static final class Owed {

		private String beforeAnswer = "";

		private String behindAnswer = "";

	}

}
