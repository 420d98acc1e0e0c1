package org.burdocktray.process.serve.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

import io.reactivex.rxjava3.core.Single;
import io.vavr.control.Either;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.process.directory.LoadReport;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.process.directory.ReplicaContacts;
import org.burdocktray.process.directory.ReplicaLoads;
import org.burdocktray.process.directory.ReportPollScheduler;
import org.burdocktray.process.directory.SilenceReports;
import org.jboss.logging.Logger;

/**
 * Requests load reports from engines when the {@link ReportPollScheduler} says that they
 * are due. Concurrent requests to one engine share one call. Thread safety: none,
 * confined to one event loop.
 */
final class EngineMonitor {

	private static final Logger LOGGER = Logger.getLogger(EngineMonitor.class);

	/** How long a report is reused for further requests. */
	private static final long REPORT_CACHE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

	/** How long this VM takes an engine that it has heard from for responsive. */
	private static final long RECENT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	/**
	 * How long an engine that returned no report to this VM is avoided, unless it returns
	 * one or responds: until the next report of the rarest ones is due and has not come
	 * either.
	 */
	static final long UNRESPONSIVE_AVOID_NANOS = ReportPollScheduler.REMOTE_INTERVAL_NANOS
			+ TimeUnit.SECONDS.toNanos(1);

	private final ReportPollScheduler pollScheduler;

	private final EngineControl control;

	private final ReplicaLoads loads;

	private final LimitedReplicas limits;

	private final ReplicaContacts contacts;

	private final ReachMonitor reach;

	private final GatewayMetrics metrics;

	private final Map<String, Single<Either<String, LoadReport>>> pendingReports = new HashMap<>();

	private final Map<String, CachedReport> lastReports = new HashMap<>();

	private final SilenceReports silenceReports = new SilenceReports();

	private BiConsumer<Replica, Either<String, LoadReport>> reportListener = (engine, report) -> {
	};

	EngineMonitor(ReportPollScheduler pollScheduler, EngineControl control, ReplicaLoads loads, LimitedReplicas limits,
			ReplicaContacts contacts, ReachMonitor reach, GatewayMetrics metrics) {
		this.reach = reach;
		this.limits = limits;
		this.contacts = contacts;
		this.metrics = metrics;
		this.pollScheduler = pollScheduler;
		this.control = control;
		this.loads = loads;
	}

	/**
	 * Sets the listener for load reports.
	 * @param listener receives each engine with its report or the reason why there is
	 * none
	 */
	void setReportListener(BiConsumer<Replica, Either<String, LoadReport>> listener) {
		this.reportListener = listener;
	}

	/**
	 * Requests the reports that are due from this VM, but for engines whose limit leaves
	 * it no request now.
	 * @param engines the engines that may receive requests
	 * @param nowNanos the monotonic time
	 */
	void tick(List<Replica> engines, long nowNanos) {
		for (Replica engine : this.pollScheduler.due(engines, nowNanos)) {
			if (this.limits.hasRoom(engine)) {
				requestReport(engine).subscribe();
			}
		}
	}

	/**
	 * Records a report that another VM received.
	 * @param vm the address of that VM
	 * @param engine the engine
	 * @param report its report, empty when the engine returned none
	 */
	void onPeerReport(NetworkAddress vm, Replica engine, Optional<LoadReport> report) {
		long nowNanos = System.nanoTime();
		this.pollScheduler.recordPoll(engine.id(), nowNanos);
		if (report.isEmpty()) {
			onSilentByOther(vm, engine, nowNanos);
			return;
		}
		this.silenceReports.end(engine.id());
		this.loads.recordReport(engine, report.get(), nowNanos);
	}

	private void onSilentByOther(NetworkAddress vm, Replica engine, long nowNanos) {
		boolean isHeard = this.contacts.hasHeardFrom(engine, nowNanos - RECENT_NANOS);
		this.metrics.recordSilentEngine(false, isHeard);
		if (!isHeard) {
			this.silenceReports.add(engine.id(), vm, nowNanos);
			this.loads.avoidSilent(engine, nowNanos + SilenceReports.HOLD_NANOS);
		}
	}

	/**
	 * Withdraws what another VM has said of engines, since it is cut off.
	 * @param vm the address of that VM
	 */
	void onPeerCutOff(NetworkAddress vm) {
		long nowNanos = System.nanoTime();
		this.silenceReports.withdraw(vm, nowNanos)
			.stream()
			.filter((engineId) -> !isSilentByOwnReport(engineId, nowNanos))
			.forEach(this.loads::endSilence);
	}

	private boolean isSilentByOwnReport(String engineId, long nowNanos) {
		CachedReport own = this.lastReports.get(engineId);
		return own != null && own.report().isLeft() && nowNanos - own.receivedNanos() < UNRESPONSIVE_AVOID_NANOS;
	}

	/**
	 * Requests a report from an engine, unless its last one was received recently.
	 * @param engine the engine
	 * @return its report, or the reason why there is none
	 */
	Single<Either<String, LoadReport>> requestReport(Replica engine) {
		Single<Either<String, LoadReport>> pending = this.pendingReports.get(engine.id());
		if (pending != null) {
			return pending;
		}
		CachedReport cached = this.lastReports.get(engine.id());
		if (cached != null && System.nanoTime() - cached.receivedNanos() < REPORT_CACHE_NANOS) {
			return Single.just(cached.report());
		}
		if (this.limits.isPaused(engine)) {
			return this.control.requestReport(engine);
		}
		this.pollScheduler.recordPoll(engine.id(), System.nanoTime());
		long startNanos = System.nanoTime();
		Single<Either<String, LoadReport>> call = this.control.requestReport(engine)
			.doOnSuccess((report) -> onReport(engine, report, startNanos))
			.cache();
		this.pendingReports.put(engine.id(), call);
		return call;
	}

	private void onReport(Replica engine, Either<String, LoadReport> report, long startNanos) {
		this.pendingReports.remove(engine.id());
		this.lastReports.put(engine.id(), new CachedReport(report, System.nanoTime()));
		tellOthers(engine, report, startNanos);
		report.peek((received) -> {
			this.contacts.record(engine, System.nanoTime());
			this.loads.recordReport(engine, received, System.nanoTime());
		}).peekLeft((fault) -> {
			LOGGER.infof("Engine gave no report: replica=%s fault=%s", engine.id(), fault);
			this.reach.recordFailure(startNanos);
			boolean isHeard = this.contacts.hasHeardFrom(engine, System.nanoTime() - RECENT_NANOS);
			this.metrics.recordSilentEngine(true, isHeard);
			this.loads.avoidSilent(engine, System.nanoTime() + UNRESPONSIVE_AVOID_NANOS);
		});
	}

	// A VM that is cut off must not call engines silent that others reach.
	private void tellOthers(Replica engine, Either<String, LoadReport> report, long startNanos) {
		if (report.isRight() || this.contacts.hasHeardFromAny(startNanos)) {
			this.reportListener.accept(engine, report);
			return;
		}
		this.reach.confirm()
			.filter((reaches) -> reaches)
			.subscribe((reaches) -> this.reportListener.accept(engine, report));
	}

	private record CachedReport(Either<String, LoadReport> report, long receivedNanos) {

	}

}
