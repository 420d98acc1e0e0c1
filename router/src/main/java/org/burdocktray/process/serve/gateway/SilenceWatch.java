package org.burdocktray.process.serve.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import io.vertx.core.Vertx;
import org.burdocktray.process.directory.Replica;

/**
 * Goes on probing replicas that fell silent until it is known whether they have crashed.
 * One probe is kept open meanwhile, since a replica with a long queue answers none that
 * is given up soon; a series of short ones finds out whether the port still accepts
 * connections. Invariant: at most one series a replica, whatever the number of requests
 * that wait for it. Thread safety: none, confined to one event loop.
 */
final class SilenceWatch {

	private static final long PAUSE_MILLIS = 100;

	private final Vertx vertx;

	private final ReplicaProbe probe;

	private final LongSupplier nanoClock;

	private final Map<String, Watch> watches = new HashMap<>();

	SilenceWatch(Vertx vertx, ReplicaProbe probe, LongSupplier nanoClock) {
		this.vertx = vertx;
		this.probe = probe;
		this.nanoClock = nanoClock;
	}

	/**
	 * Watches a replica, unless it is watched already.
	 * @param replica the replica
	 * @param healthPath the path of its health check
	 * @param silentSinceNanos when the probe was sent to which it did not respond
	 * @param lastSignOfLifeNanos returns when this VM last heard from any replica
	 * @param listener is told once what became of the replica
	 */
	void watch(Replica replica, String healthPath, long silentSinceNanos, LongSupplier lastSignOfLifeNanos,
			Consumer<SilentReplica.Verdict> listener) {
		Watch watch = new Watch(replica, healthPath, new SilentReplica(silentSinceNanos), lastSignOfLifeNanos,
				listener);
		if (this.watches.putIfAbsent(UpstreamNames.of(replica), watch) != null) {
			return;
		}
		this.probe.probe(replica, healthPath, SilentReplica.SOUND_SILENCE_MILLIS)
			.filter((result) -> result == ReplicaProbe.Result.RESPONDS)
			.subscribe((result) -> record(watch, result));
		probeNext(watch);
	}

	private void probeNext(Watch watch) {
		if (this.watches.get(UpstreamNames.of(watch.replica())) != watch) {
			return;
		}
		this.probe.probe(watch.replica(), watch.healthPath()).subscribe((result) -> {
			record(watch, result);
			this.vertx.setTimer(PAUSE_MILLIS, (timer) -> probeNext(watch));
		});
	}

	private void record(Watch watch, ReplicaProbe.Result result) {
		watch.silence()
			.onProbe(result, watch.lastSignOfLifeNanos().getAsLong(), this.nanoClock.getAsLong())
			.filter((verdict) -> this.watches.remove(UpstreamNames.of(watch.replica()), watch))
			.ifPresent(watch.listener());
	}

	private record Watch(Replica replica, String healthPath, SilentReplica silence, LongSupplier lastSignOfLifeNanos,
			Consumer<SilentReplica.Verdict> listener) {

	}

}
