package org.burdocktray.process.serve.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

import io.reactivex.rxjava3.core.Single;
import io.vavr.control.Either;
import org.burdocktray.process.directory.LoadReport;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.process.directory.ReplicaLoads;
import org.burdocktray.process.directory.ReportPollScheduler;
import org.jboss.logging.Logger;

/**
 * Asks engines for their load as {@link ReportPollScheduler} decides. Calls to one engine
 * that overlap become one. Thread safety: none, confined to one event loop.
 */
final class EngineMonitor {

	private static final Logger LOGGER = Logger.getLogger(EngineMonitor.class);

	/** How long an answer serves others who ask. */
	private static final long REPORT_CACHE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

	/** How long an engine that did not answer is avoided. */
	static final long UNRESPONSIVE_AVOID_NANOS = TimeUnit.SECONDS.toNanos(2);

	private final ReportPollScheduler pollScheduler;

	private final EngineControl control;

	private final ReplicaLoads loads;

	private final Map<String, Single<Either<String, LoadReport>>> pendingReports = new HashMap<>();

	private final Map<String, CachedReport> lastReports = new HashMap<>();

	private BiConsumer<Replica, Either<String, LoadReport>> reportListener = (engine, answer) -> {
	};

	EngineMonitor(ReportPollScheduler duty, EngineControl control, ReplicaLoads loads) {
		this.pollScheduler = duty;
		this.control = control;
		this.loads = loads;
	}

	/**
	 * Sets who is told of engines' answers.
	 * @param listener takes an engine and its answer
	 */
	void setReportListener(BiConsumer<Replica, Either<String, LoadReport>> listener) {
		this.reportListener = listener;
	}

	/**
	 * Asks the engines whose report is due from this VM.
	 * @param engines the engines that get work
	 * @param nowNanos the time
	 */
	void tick(List<Replica> engines, long nowNanos) {
		this.pollScheduler.due(engines, nowNanos).forEach((engine) -> requestReport(engine).subscribe());
	}

	/**
	 * Takes in what another VM heard of an engine.
	 * @param engine the engine
	 * @param report its report, empty when it gave none
	 */
	void onPeerReport(Replica engine, Optional<LoadReport> report) {
		this.pollScheduler.recordPoll(engine.id(), System.nanoTime());
		report.ifPresentOrElse((load) -> this.loads.recordReport(engine, load, System.nanoTime()),
				() -> this.loads.avoid(engine, System.nanoTime() + UNRESPONSIVE_AVOID_NANOS));
	}

	/**
	 * Asks an engine now, unless its last answer has just come.
	 * @param engine the engine
	 * @return its report, or why there is none
	 */
	Single<Either<String, LoadReport>> requestReport(Replica engine) {
		Single<Either<String, LoadReport>> running = this.pendingReports.get(engine.id());
		if (running != null) {
			return running;
		}
		CachedReport last = this.lastReports.get(engine.id());
		if (last != null && System.nanoTime() - last.receivedNanos() < REPORT_CACHE_NANOS) {
			return Single.just(last.report());
		}
		this.pollScheduler.recordPoll(engine.id(), System.nanoTime());
		Single<Either<String, LoadReport>> call = this.control.requestReportReport(engine)
			.doOnSuccess((answer) -> onReport(engine, answer))
			.cache();
		this.pendingReports.put(engine.id(), call);
		return call;
	}

	private void onReport(Replica engine, Either<String, LoadReport> answer) {
		this.pendingReports.remove(engine.id());
		this.lastReports.put(engine.id(), new CachedReport(answer, System.nanoTime()));
		this.reportListener.accept(engine, answer);
		answer.peek((report) -> this.loads.recordReport(engine, report, System.nanoTime())).peekLeft((fault) -> {
			LOGGER.infof("Engine gave no report: replica=%s fault=%s", engine.id(), fault);
			this.loads.avoid(engine, System.nanoTime() + UNRESPONSIVE_AVOID_NANOS);
		});
	}

	private record CachedReport(Either<String, LoadReport> report, long receivedNanos) {

	}

}
