package org.burdocktray.process.serve.gateway;

import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.jboss.logging.Logger;

/**
 * Stops a gateway: it leaves the load balancer's rotation, lets requests in progress
 * finish, and closes all connections within the grace period, after what was written to
 * them has been sent. Invariant: requests that arrive while the load balancer may still
 * send them are served. Thread safety: {@link #start} can be called from any thread, and
 * the flags can be read from any thread; all else runs on the event loop.
 */
final class GracefulStop {

	private static final Logger LOGGER = Logger.getLogger(GracefulStop.class);

	private static final long CHECK_MILLIS = 50;

	/** How long the load balancer takes to stop sending new connections. */
	private static final long ROTATION_EXIT_MILLIS = 2_500;

	/**
	 * The part of the grace period that is left when the requests in progress are ended.
	 */
	private static final long STOP_MARGIN_MILLIS = 400;

	/**
	 * The part of the grace period that is left when connections are closed to which not
	 * all has been written.
	 */
	private static final long CLOSE_MARGIN_MILLIS = 150;

	/**
	 * How long a connection is kept after a response, for a request that the caller sends
	 * at once.
	 */
	private static final long NEXT_REQUEST_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

	private final Vertx vertx;

	private final GatewaySettings settings;

	private final RequestsInProgress requestsInProgress;

	private final Supplier<Future<Void>> connectionsClose;

	private volatile boolean stopping;

	private volatile boolean rejecting;

	/**
	 * Creates a stop that has not begun.
	 * @param vertx runs the timer
	 * @param settings the settings of the gateway
	 * @param requestsInProgress the requests that are let finish
	 * @param connectionsClose closes all connections and sockets
	 */
	GracefulStop(Vertx vertx, GatewaySettings settings, RequestsInProgress requestsInProgress,
			Supplier<Future<Void>> connectionsClose) {
		this.vertx = vertx;
		this.settings = settings;
		this.requestsInProgress = requestsInProgress;
		this.connectionsClose = connectionsClose;
	}

	/**
	 * Returns whether the gateway stops, so that it is not ready any more.
	 * @return true from the start of the stop on
	 */
	boolean isStopping() {
		return this.stopping;
	}

	/**
	 * Returns whether new requests are refused.
	 * @return true once the load balancer has had time to take this VM out
	 */
	boolean isRejecting() {
		return this.rejecting;
	}

	/**
	 * Starts to stop.
	 * @return completes when the process can exit
	 */
	Future<Void> start() {
		Promise<Void> stopped = Promise.promise();
		this.vertx.runOnContext((now) -> {
			LOGGER.infof("Gateway stops: vm=%s inProgress=%d", this.settings.vmName(), this.requestsInProgress.count());
			this.stopping = true;
			long startNanos = System.nanoTime();
			this.vertx.setPeriodic(CHECK_MILLIS, (timer) -> {
				long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
				if (advance(elapsedMillis)) {
					this.vertx.cancelTimer(timer);
					LOGGER.infof("Gateway closes its connections: vm=%s inProgress=%d elapsedMillis=%d",
							this.settings.vmName(), this.requestsInProgress.count(), elapsedMillis);
					this.connectionsClose.get().onComplete(stopped);
				}
			});
		});
		return stopped.future();
	}

	// Returns whether the connections can be closed.
	private boolean advance(long elapsedMillis) {
		long remainingMillis = this.settings.bounds().graceMillis() - elapsedMillis;
		boolean isGraceOver = remainingMillis < STOP_MARGIN_MILLIS;
		this.rejecting = elapsedMillis > ROTATION_EXIT_MILLIS || isGraceOver;
		if (isGraceOver) {
			this.requestsInProgress.stopAll();
		}
		boolean isIdle = this.rejecting && this.requestsInProgress.isQuietFor(NEXT_REQUEST_NANOS);
		return isIdle || remainingMillis < CLOSE_MARGIN_MILLIS;
	}

}
