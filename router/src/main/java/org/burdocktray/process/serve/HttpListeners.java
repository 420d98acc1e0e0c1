package org.burdocktray.process.serve;

import io.vertx.core.AbstractVerticle;
import io.vertx.core.DeploymentOptions;
import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import org.burdocktray.model.NetworkAddress;

/**
 * Accepts HTTP connections and distributes those of an address over several event loops.
 * Thread safety: safe for use by multiple threads.
 */
final class HttpListeners {

	private static final int MAX_HEADER_BYTES = 64 * 1024;

	private static final int MAX_EVENT_LOOPS = 8;

	private final Vertx vertx;

	HttpListeners(Vertx vertx) {
		this.vertx = vertx;
	}

	/**
	 * Starts listening on an address.
	 * @param address the address to bind
	 * @param handler handles the requests; called concurrently by several event loops
	 * @param instances the number of event loops
	 * @param compressed whether responses are compressed for clients that accept it
	 * @return a future that completes when the address is bound
	 */
	Future<Void> listen(NetworkAddress address, Handler<HttpServerRequest> handler, int instances, boolean compressed) {
		HttpServerOptions options = new HttpServerOptions().setHost(address.ip())
			.setPort(address.port())
			.setMaxHeaderSize(MAX_HEADER_BYTES)
			.setCompressionSupported(compressed);
		return this.vertx
			.deployVerticle(() -> new Listener(options, handler), new DeploymentOptions().setInstances(instances))
			.mapEmpty();
	}

	static int eventLoops() {
		return Math.min(MAX_EVENT_LOOPS, Runtime.getRuntime().availableProcessors());
	}

	/** Verticle that accepts connections on one event loop. */
	private static final class Listener extends AbstractVerticle {

		private final HttpServerOptions options;

		private final Handler<HttpServerRequest> handler;

		Listener(HttpServerOptions options, Handler<HttpServerRequest> handler) {
			this.options = options;
			this.handler = handler;
		}

		@Override
		public void start(Promise<Void> started) {
			this.vertx.createHttpServer(this.options)
				.requestHandler(this.handler)
				.listen()
				.<Void>mapEmpty()
				.onComplete(started);
		}

	}

}
