package org.burdocktray.process.serve;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import org.burdocktray.connection.engine.EngineClient;
import org.burdocktray.connection.engine.EngineLoad;
import org.burdocktray.process.load.EjectionAction;
import org.burdocktray.process.load.EjectionSettings;
import org.burdocktray.process.load.OutlierEjection;
import org.burdocktray.process.load.UpstreamLoads;
import org.burdocktray.version.bundle.Bundle;
import org.burdocktray.version.bundle.Engine;
import org.burdocktray.version.bundle.Service;
import org.jboss.logging.Logger;

/**
 * Monitors the upstreams: polls the load of the engines in turn, ejects upstreams that
 * fail and probes ejected ones. The number of polls per second does not grow with the
 * number of engines. Thread safety: all methods are safe for use by multiple threads; the
 * state is confined to one event loop.
 */
final class UpstreamMonitor {

	private static final Logger LOGGER = Logger.getLogger(UpstreamMonitor.class);

	static final long POLL_INTERVAL_MILLIS = 100;

	private static final long POLL_TIMEOUT_MILLIS = 500;

	private final Context context;

	private final EngineClient engines;

	private final UpstreamLoads loads;

	private final LeavingListener leavingListener;

	private final OutlierEjection ejection = new OutlierEjection(EjectionSettings.defaults());

	private final Map<String, Engine> enginesByName = new HashMap<>();

	private final Set<String> upstreamNames = new HashSet<>();

	private final Queue<Engine> pollQueue = new ArrayDeque<>();

	UpstreamMonitor(Vertx vertx, EngineClient engines, UpstreamLoads loads, LeavingListener leavingListener) {
		this.context = vertx.getOrCreateContext();
		this.engines = engines;
		this.loads = loads;
		this.leavingListener = leavingListener;
	}

	/**
	 * Applies due ejection actions and polls the load of the next engine. Must be called
	 * every {@link #POLL_INTERVAL_MILLIS}.
	 */
	void poll() {
		this.context.runOnContext((run) -> pollNow());
	}

	/**
	 * Replaces the monitored upstreams with those of a new bundle.
	 * @param bundle the bundle now in force
	 */
	void applyBundle(Bundle bundle) {
		this.context.runOnContext((run) -> replaceUpstreams(bundle));
	}

	/**
	 * Records a request that the upstreams completed.
	 * @param upstreamNames the names of the upstreams
	 */
	void recordSuccess(Collection<String> upstreamNames) {
		this.context.runOnContext(
				(run) -> upstreamNames.forEach((name) -> apply(this.ejection.recordSuccess(name, System.nanoTime()))));
	}

	/**
	 * Records a request that failed because of the upstream.
	 * @param upstreamName the name of the upstream
	 */
	void recordFailure(String upstreamName) {
		this.context.runOnContext((run) -> apply(this.ejection.recordFailure(upstreamName, System.nanoTime())));
	}

	private void replaceUpstreams(Bundle bundle) {
		boolean firstBundle = this.upstreamNames.isEmpty();
		Set<String> next = new HashSet<>();
		this.enginesByName.clear();
		for (Engine engine : bundle.engines()) {
			this.enginesByName.put(engine.name(), engine);
			next.add(engine.name());
			addUpstream(engine.name(), engine.model() + ":" + engine.fromLayer() + "-" + engine.toLayer(), firstBundle);
		}
		for (Service service : bundle.services()) {
			for (Service.Replica replica : service.replicas()) {
				next.add(replica.name());
				addUpstream(replica.name(), service.name(), firstBundle);
			}
		}
		this.upstreamNames.stream().filter((name) -> !next.contains(name)).forEach(this.ejection::remove);
		this.upstreamNames.clear();
		this.upstreamNames.addAll(next);
		this.loads.retain(Set.copyOf(next));
		this.pollQueue.clear();
		this.pollQueue.addAll(bundle.engines());
	}

	private void addUpstream(String upstreamName, String group, boolean firstBundle) {
		if (this.upstreamNames.contains(upstreamName)) {
			return;
		}
		this.ejection.add(upstreamName, group, System.nanoTime());
		if (!firstBundle) {
			this.loads.markJoined(upstreamName);
		}
	}

	private void pollNow() {
		List<EjectionAction> due = new ArrayList<>(this.ejection.tick(System.nanoTime()));
		due.forEach(this::apply);
		Optional.ofNullable(this.pollQueue.poll()).ifPresent((engine) -> {
			this.pollQueue.add(engine);
			long requestedAtNanos = System.nanoTime();
			this.engines.fetchLoad(engine, POLL_TIMEOUT_MILLIS)
				.subscribe((load) -> this.context.runOnContext((run) -> onLoad(engine, load, requestedAtNanos)));
		});
	}

	private void onLoad(Engine engine, EngineLoad load, long requestedAtNanos) {
		if (!load.reachable()) {
			return;
		}
		this.loads.recordReport(engine.name(), load.inFlight());
		this.leavingListener.onLoadReport(engine.name(), load.leaving(), requestedAtNanos);
	}

	private void apply(Optional<EjectionAction> action) {
		action.ifPresent(this::apply);
	}

	private void apply(EjectionAction action) {
		String name = action.upstreamName();
		if (action instanceof EjectionAction.Eject) {
			LOGGER.warnf("Upstream ejected: upstream=%s", name);
			this.loads.markEjected(name);
		}
		else if (action instanceof EjectionAction.Restore) {
			LOGGER.infof("Upstream restored: upstream=%s", name);
			this.loads.markRecovered(name);
		}
		else if (action instanceof EjectionAction.Probe) {
			probe(name);
		}
	}

	private void probe(String upstreamName) {
		Engine engine = this.enginesByName.get(upstreamName);
		if (engine == null) {
			// Plain services have no call without side effects, so the next request is
			// the probe.
			this.loads.markRecovered(upstreamName);
			return;
		}
		this.engines.fetchLoad(engine, POLL_TIMEOUT_MILLIS).subscribe((load) -> this.context.runOnContext((run) -> {
			long nowNanos = System.nanoTime();
			apply(load.reachable() ? this.ejection.recordSuccess(upstreamName, nowNanos)
					: this.ejection.recordFailure(upstreamName, nowNanos));
		}));
	}

	/** Receives the leaving state that engines report. */
	@FunctionalInterface
	interface LeavingListener {

		/**
		 * Called for each load report of an engine.
		 * @param upstreamName the name of the engine
		 * @param leaving whether the engine reports that it is leaving
		 * @param requestedAtNanos the time at which the report was requested
		 */
		void onLoadReport(String upstreamName, boolean leaving, long requestedAtNanos);

	}

}
