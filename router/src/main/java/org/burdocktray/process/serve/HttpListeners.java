package org.burdocktray.process.serve;

import java.util.function.BiConsumer;
import java.util.function.Supplier;

import io.vertx.core.AbstractVerticle;
import io.vertx.core.DeploymentOptions;
import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import org.burdocktray.connection.caller.ClientConnections;
import org.burdocktray.connection.caller.ClientLimits;
import org.burdocktray.connection.caller.ClientMemory;
import org.burdocktray.connection.caller.LimitedTransport;
import org.burdocktray.connection.caller.RefusalLog;
import org.burdocktray.model.NetworkAddress;

/**
 * Accepts HTTP connections and distributes those of an address over several event loops.
 * Thread safety: safe for use by multiple threads.
 */
final class HttpListeners {

	/** What the codec reads; {@link ClientConnections} enforces the limit. */
	private static final int CODEC_HEADER_BYTES = 1 << 20;

	private static final int MAX_EVENT_LOOPS = 8;

	private static final long TICK_MILLIS = 250;

	private final Vertx vertx;

	private final LimitedTransport transport;

	private final ClientMemory memory;

	private final BiConsumer<String, String> refusalCounter;

	/**
	 * Creates the listeners of a process.
	 * @param vertx runs them
	 * @param transport the transport of vertx
	 * @param memory what the clients of all of them share
	 * @param refusalCounter counts clients that are turned away, by listener and reason
	 */
	HttpListeners(Vertx vertx, LimitedTransport transport, ClientMemory memory,
			BiConsumer<String, String> refusalCounter) {
		this.vertx = vertx;
		this.transport = transport;
		this.memory = memory;
		this.refusalCounter = refusalCounter;
	}

	/**
	 * Starts listening on an address.
	 * @param endpoint the address and its limits
	 * @param handler handles the requests; called concurrently by several event loops
	 * @return a future that completes when the address is bound
	 */
	Future<Void> listen(Endpoint endpoint, Handler<HttpServerRequest> handler) {
		RefusalLog refusals = new RefusalLog(endpoint.name(),
				(refusal) -> this.refusalCounter.accept(endpoint.name(), refusal.wireName()));
		this.transport.limit(endpoint.address(), endpoint.maxConnections(), refusals);
		int maxOfInstance = Math.max(1, endpoint.maxConnections() / endpoint.instances());
		HttpServerOptions options = new HttpServerOptions().setHost(endpoint.address().ip())
			.setPort(endpoint.address().port())
			.setMaxHeaderSize(CODEC_HEADER_BYTES)
			.setMaxInitialLineLength(CODEC_HEADER_BYTES)
			.setHttp2ClearTextEnabled(false)
			.setPerFrameWebSocketCompressionSupported(false)
			.setPerMessageWebSocketCompressionSupported(false)
			.setCompressionSupported(endpoint.isCompressed());
		return this.vertx
			.deployVerticle(
					() -> new Listener(options,
							new ClientConnections(maxOfInstance, endpoint.limits(), this.memory, refusals), handler),
					new DeploymentOptions().setInstances(endpoint.instances()))
			.mapEmpty();
	}

	static int eventLoops() {
		return Math.min(MAX_EVENT_LOOPS, Runtime.getRuntime().availableProcessors());
	}

	/**
	 * An address to listen on. Thread safety: immutable.
	 *
	 * @param name its name in metrics and logs
	 * @param address the address to bind
	 * @param instances the number of event loops
	 * @param isCompressed whether responses are compressed for clients that accept it
	 * @param maxConnections the maximum number of open connections
	 * @param limits the limits of each of them, as they are now
	 */
	record Endpoint(String name, NetworkAddress address, int instances, boolean isCompressed, int maxConnections,
			Supplier<ClientLimits> limits) {

	}

	/** Verticle that accepts connections on one event loop. */
	private static final class Listener extends AbstractVerticle {

		private final HttpServerOptions options;

		private final ClientConnections connections;

		private final Handler<HttpServerRequest> handler;

		Listener(HttpServerOptions options, ClientConnections connections, Handler<HttpServerRequest> handler) {
			this.options = options;
			this.connections = connections;
			this.handler = handler;
		}

		@Override
		public void start(Promise<Void> started) {
			this.vertx.setPeriodic(TICK_MILLIS, (timer) -> this.connections.tick(System.nanoTime()));
			this.vertx.createHttpServer(this.options)
				.connectionHandler(this.connections::add)
				.requestHandler(this.handler)
				.listen()
				.<Void>mapEmpty()
				.onComplete(started);
		}

	}

}
