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
 * Sends some answers of a stand-in a second time, at moments drawn by seed. Thread
 * safety: confined to the event loop of the stand-in.
 */
final class SecondAnswers {

	private static final int MAX_DELAY_MILLIS = 60;

	private final double share;

	private final Random random;

	/** What is sent with the next request of a connection. */
	private final Map<HttpConnection, String> owed = new WeakHashMap<>();

	/**
	 * Creates the second answers of a stand-in.
	 * @param share the share of answers that are sent a second time
	 * @param seed the seed of the draws
	 */
	SecondAnswers(double share, long seed) {
		this.share = share;
		this.random = new Random(seed);
	}

	/**
	 * Sends what is owed from the last answer, before the answer to the next request.
	 * @param connection the connection on which the next request has come
	 */
	void onRequest(HttpConnection connection) {
		String text = this.owed.remove(connection);
		if (text != null) {
			write(connection, text);
		}
	}

	/**
	 * Draws whether an answer is sent a second time, and when.
	 * @param vertx runs the event loop
	 * @param connection the connection on which it was sent
	 * @param text the answer
	 */
	void onAnswer(Vertx vertx, HttpConnection connection, String text) {
		if (this.random.nextDouble() >= this.share) {
			return;
		}
		switch (Moment.values()[this.random.nextInt(Moment.values().length)]) {
			case AT_ONCE -> writeOrOwe(connection, text);
			case LATER ->
				vertx.setTimer(1 + this.random.nextInt(MAX_DELAY_MILLIS), (timer) -> writeOrOwe(connection, text));
			case WITH_THE_NEXT_REQUEST -> owe(connection, text);
			case SPLIT -> {
				int early = this.random.nextInt(text.length());
				writeOrOwe(connection, text.substring(0, early));
				owe(connection, text.substring(early));
			}
		}
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
		this.owed.merge(connection, text, String::concat);
	}

	// Past the server's own encoder. A closed connection has no handlers.
	private static void write(HttpConnection connection, String text) {
		ChannelHandlerContext first = ((ConnectionBase) connection).channel().pipeline().firstContext();
		if (first != null) {
			first.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
		}
	}

	private enum Moment {

		AT_ONCE, LATER, WITH_THE_NEXT_REQUEST, SPLIT

	}

}
