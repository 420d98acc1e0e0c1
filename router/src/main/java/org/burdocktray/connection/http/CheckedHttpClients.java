package org.burdocktray.connection.http;

import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.PoolOptions;
import org.jboss.logging.Logger;

/**
 * Creates HTTP clients that end a connection on which the boundaries of answers are in
 * doubt. Thread safety: stateless.
 */
public final class CheckedHttpClients {

	private static final Logger LOGGER = Logger.getLogger(CheckedHttpClients.class);

	private CheckedHttpClients() {
	}

	/**
	 * Creates a client.
	 * @param vertx runs it
	 * @param options the options of its connections
	 * @param maxConnections the number of connections that it keeps to one server
	 * @return the client
	 */
	public static HttpClient create(Vertx vertx, HttpClientOptions options, int maxConnections) {
		return create(vertx, options, maxConnections, (connection) -> {
		});
	}

	/**
	 * Creates a client.
	 * @param vertx runs it
	 * @param options the options of its connections
	 * @param maxConnections the number of connections that it keeps to one server
	 * @param connectionListener is told of each connection that was opened
	 * @return the client
	 */
	public static HttpClient create(Vertx vertx, HttpClientOptions options, int maxConnections,
			Handler<HttpConnection> connectionListener) {
		return vertx.httpClientBuilder()
			.with(options)
			.with(new PoolOptions().setHttp1MaxSize(maxConnections))
			.withConnectHandler((connection) -> {
				AnswerBoundaries.check(connection, CheckedHttpClients::log);
				connectionListener.handle(connection);
			})
			.build();
	}

	private static void log(MergedAnswer answer) {
		LOGGER.warnf("Answer holds a part of another one: server=%s connection=%d answerStatus=%d evidence=%s",
				answer.server(), answer.localPort(), answer.status(), answer.evidence());
	}

}
