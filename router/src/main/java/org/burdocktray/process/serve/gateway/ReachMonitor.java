package org.burdocktray.process.serve.gateway;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.process.directory.ReplicaDirectory;
import org.burdocktray.process.directory.ReplicaLoads;
import org.burdocktray.process.directory.ReplicaReach;
import org.jboss.logging.Logger;

/**
 * Finds out whether this VM reaches replicas at all, by connections that are closed at
 * once. Nothing is tried while no call to a replica fails. Thread safety: none, confined
 * to one event loop.
 */
final class ReachMonitor {

	private static final Logger LOGGER = Logger.getLogger(ReachMonitor.class);

	private static final int CONNECT_TIMEOUT_MILLIS = 300;

	private final Vertx vertx;

	private final ReplicaDirectory directory;

	private final ReplicaLoads loads;

	private final RandomGenerator random;

	private final GatewayMetrics metrics;

	private final ReplicaReach reach = new ReplicaReach(System.nanoTime());

	private final NetClient client;

	private Future<Boolean> check = Future.succeededFuture(true);

	private boolean knownCutOff;

	private long cutOffSinceNanos;

	private Listener listener = new Listener() {
	};

	ReachMonitor(Vertx vertx, ReplicaDirectory directory, ReplicaLoads loads, RandomGenerator random,
			GatewayMetrics metrics) {
		this.loads = loads;
		this.vertx = vertx;
		this.directory = directory;
		this.random = random;
		this.metrics = metrics;
		this.client = vertx.createNetClient(new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS));
	}

	void setListener(Listener next) {
		this.listener = next;
	}

	/**
	 * Records that a call to a replica failed without a response.
	 * @param startNanos when the call was started
	 */
	void recordFailure(long startNanos) {
		this.reach.recordFailure(startNanos);
		tick(System.nanoTime());
	}

	/** Records that a replica has accepted a new connection. */
	void recordConnected() {
		this.reach.recordConnected(System.nanoTime());
		publish();
	}

	boolean isCutOff() {
		return this.reach.isCutOff();
	}

	/**
	 * Returns whether it is being found out if this VM is cut off.
	 * @return true for a moment after a failure
	 */
	boolean isInDoubt() {
		return this.reach.isInDoubt();
	}

	/**
	 * Finds out now whether this VM reaches replicas, after a call has failed. It cannot
	 * be found out where there is no second replica.
	 * @return whether another replica accepts connections, or none is listed; false as
	 * well where this VM stops
	 */
	Single<Boolean> confirm() {
		if (this.directory.listed().size() <= 1) {
			return Single.just(true);
		}
		recordFailure(System.nanoTime());
		if (this.check.isComplete() && this.reach.isInDoubt()) {
			beginCheck(System.nanoTime());
		}
		Future<Boolean> current = this.check;
		return Single.create((emitter) -> current.onSuccess(emitter::onSuccess));
	}

	/**
	 * Starts a check if one is due.
	 * @param nowNanos the monotonic time
	 */
	void tick(long nowNanos) {
		if (this.reach.isCheckDue(nowNanos)) {
			beginCheck(nowNanos);
		}
	}

	private void beginCheck(long nowNanos) {
		List<Replica> sample = this.reach.beginCheck(this.directory.listed(),
				(replica) -> this.loads.isAvoided(replica, nowNanos), this.random, nowNanos);
		Future<Boolean> result = sample.isEmpty() ? Future.succeededFuture(false)
				: new ReachCheck(this.vertx, this.client, sample).start();
		Promise<Boolean> recorded = Promise.promise();
		this.check = recorded.future();
		// A check that fails has tried no replica: this VM stops.
		result.onSuccess((isAnyConnected) -> endCheck(isAnyConnected, sample.size(), recorded))
			.onFailure((cause) -> endCheck(false, 0, recorded));
	}

	private void endCheck(boolean isAnyConnected, int triedCount, Promise<Boolean> recorded) {
		this.reach.endCheck(isAnyConnected, triedCount, System.nanoTime());
		publish();
		recorded.complete(isAnyConnected);
		this.listener.onCheckEnd();
	}

	private void publish() {
		if (this.knownCutOff == this.reach.isCutOff()) {
			return;
		}
		this.knownCutOff = this.reach.isCutOff();
		this.metrics.setCutOff(this.knownCutOff);
		if (this.knownCutOff) {
			this.cutOffSinceNanos = System.nanoTime();
			LOGGER.warnf("VM is cut off from replicas: listed=%d", this.directory.listed().size());
			this.listener.onCutOff();
			return;
		}
		LOGGER.infof("VM reaches replicas again: millis=%d",
				TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.cutOffSinceNanos));
		this.listener.onReached();
	}

	/**
	 * Is told when the reach of this VM changes.
	 */
	interface Listener {

		/** Handles that it is known whether this VM reaches replicas. */
		default void onCheckEnd() {
		}

		/** Handles that this VM reaches no replica any more. */
		default void onCutOff() {
		}

		/** Handles that this VM reaches replicas again. */
		default void onReached() {
		}

	}

}
