package org.burdocktray.standins;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.json.DecodeException;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;

/**
 * Base of the stand-ins: an HTTP server on the loopback address. All handlers and timers
 * of a stand-in run on one event loop, so that its state needs no locks. Thread safety:
 * {@link #start(int)}, {@link #stop()} and {@link #crash()} may be called from any
 * thread; the first two block and must not be called from the event loop.
 */
public abstract class HttpStandIn {

	private static final String LOOPBACK = "127.0.0.1";

	private static final long MAX_BODY_BYTES = 64L * 1024 * 1024;

	private static final int MAX_HEADER_BYTES = 64 * 1024;

	private static final int NO_IDLE_TIMEOUT = 0;

	private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1)
		.setWorkerPoolSize(1)
		.setInternalBlockingPoolSize(1)
		.setFileSystemOptions(
				new FileSystemOptions().setFileCachingEnabled(false).setClassPathResolvingEnabled(false)));

	private volatile int port;

	private volatile boolean stopped;

	private volatile Runnable crashAction = this.vertx::close;

	private boolean resettingOnClose;

	/** Lets all closed connections end with a reset. Must be called before the start. */
	public final void resetConnectionsOnClose() {
		this.resettingOnClose = true;
	}

	/**
	 * Starts the server and waits until it listens.
	 * @param requestedPort the port, 0 for any free port
	 * @return the port that the server listens on
	 */
	public int start(int requestedPort) {
		Router router = Router.router(this.vertx);
		router.route().handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES));
		router.route().failureHandler(HttpStandIn::respondFailure);
		addRoutes(router);
		HttpServerOptions options = new HttpServerOptions().setIdleTimeout(NO_IDLE_TIMEOUT)
			.setMaxHeaderSize(MAX_HEADER_BYTES);
		if (this.resettingOnClose) {
			options.setSoLinger(0);
		}
		HttpServer server = this.vertx.createHttpServer(options).requestHandler(router);
		this.port = server.listen(requestedPort, LOOPBACK)
			.toCompletionStage()
			.toCompletableFuture()
			.join()
			.actualPort();
		return this.port;
	}

	/**
	 * Closes all connections and waits until they are closed. A stopped stand-in cannot
	 * be restarted.
	 */
	public void stop() {
		this.stopped = true;
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	/**
	 * Simulates a crash: calls in progress get no response.
	 */
	public void crash() {
		this.stopped = true;
		this.crashAction.run();
	}

	/**
	 * Returns whether this stand-in was stopped or has crashed. May be called from any
	 * thread.
	 * @return true when it no longer serves calls
	 */
	public boolean hasStopped() {
		return this.stopped;
	}

	/**
	 * Sets the action that a crash runs. By default it closes all sockets.
	 * @param action the action, for example one that halts the process
	 */
	public void setCrashAction(Runnable action) {
		this.crashAction = action;
	}

	/**
	 * Returns the address of the server.
	 * @return the IP address and port, separated by a colon
	 */
	public String address() {
		return LOOPBACK + ":" + this.port;
	}

	/**
	 * Returns the port that the server listens on.
	 * @return the port
	 */
	public int port() {
		return this.port;
	}

	/**
	 * Adds the routes. Called once, before the server listens.
	 * @param router the router, which runs after the body handler
	 */
	protected abstract void addRoutes(Router router);

	private static void respondFailure(RoutingContext context) {
		if (context.failure() instanceof DecodeException) {
			respond(context, 400, Problem.notRun(context.failure().getMessage()));
			return;
		}
		int statusCode = (context.statusCode() > 0) ? context.statusCode() : 500;
		respond(context, statusCode, new Problem("unknown", String.valueOf(context.failure())));
	}

	protected final Vertx vertx() {
		return this.vertx;
	}

	/**
	 * Runs an action on the event loop and waits until it has completed.
	 * @param action the action
	 */
	protected final void runOnEventLoop(Runnable action) {
		Context current = Vertx.currentContext();
		if (current != null && current.owner() == this.vertx) {
			action.run();
			return;
		}
		Executor eventLoop = (task) -> this.vertx.runOnContext((ignored) -> task.run());
		CompletableFuture.runAsync(action, eventLoop).join();
	}

	protected final boolean isStopped() {
		return this.stopped;
	}

	protected static void respond(RoutingContext context, int statusCode, Object body) {
		if (context.response().ended() || context.response().closed()) {
			return;
		}
		context.response()
			.setStatusCode(statusCode)
			.putHeader("Content-Type", "application/json")
			.end(JsonBodies.encode(body));
	}

	protected static void respondEmpty(RoutingContext context, int statusCode) {
		if (context.response().ended() || context.response().closed()) {
			return;
		}
		context.response().setStatusCode(statusCode).end();
	}

	protected static <T> T decodeBody(RoutingContext context, Class<T> type) {
		return JsonBodies.decode(context.body().buffer(), type);
	}

	protected static void closeConnection(RoutingContext context) {
		context.request().connection().close();
	}

	protected static String toNdjson(Iterable<?> items) {
		StringBuilder lines = new StringBuilder();
		for (Object item : items) {
			lines.append(JsonBodies.encode(item)).append('\n');
		}
		return lines.toString();
	}

	protected static void respondNdjson(RoutingContext context, Iterable<?> items) {
		context.response().putHeader("Content-Type", "application/x-ndjson").end(toNdjson(items));
	}

	protected final void runAfter(long delayMillis, Runnable action) {
		if (delayMillis <= 0) {
			action.run();
			return;
		}
		this.vertx.setTimer(delayMillis, (timer) -> action.run());
	}

}
