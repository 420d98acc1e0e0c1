package org.burdocktray.process.serve.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.core.Single;
import io.vavr.control.Either;
import org.burdocktray.model.DataCentre;
import org.burdocktray.process.directory.LoadReport;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.process.directory.ReplicaLoads;
import org.jboss.logging.Logger;

/**
 * Asks engines for their load, those of this data centre more often than others. Calls to
 * one engine that overlap become one. Thread safety: none, confined to one event loop.
 */
final class EngineMonitor {

	private static final Logger LOGGER = Logger.getLogger(EngineMonitor.class);

	private static final long LOCAL_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

	private static final long REMOTE_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(6);

	private static final long AVOIDED_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);

	/** How long an answer serves others who ask. */
	private static final long REUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

	/** How long an engine that did not answer is avoided. */
	static final long SILENT_NANOS = TimeUnit.SECONDS.toNanos(2);

	private final DataCentre here;

	private final ReplicaControl control;

	private final ReplicaLoads loads;

	private final Map<String, Single<Either<String, LoadReport>>> inProgress = new HashMap<>();

	private final Map<String, Long> askedNanos = new HashMap<>();

	private final Map<String, Answer> lastAnswers = new HashMap<>();

	EngineMonitor(DataCentre here, ReplicaControl control, ReplicaLoads loads) {
		this.here = here;
		this.control = control;
		this.loads = loads;
	}

	/**
	 * Asks the engines whose report is old.
	 * @param engines the engines that get work
	 * @param nowNanos the time
	 */
	void tick(List<Replica> engines, long nowNanos) {
		for (Replica engine : new ArrayList<>(engines)) {
			if (engine.layers().isEmpty()) {
				continue;
			}
			long period = period(engine, nowNanos);
			Long asked = this.askedNanos.get(engine.id());
			if (asked == null || nowNanos - asked > period) {
				ask(engine).subscribe();
			}
		}
	}

	private long period(Replica engine, long nowNanos) {
		if (this.loads.isAvoided(engine, nowNanos)) {
			return AVOIDED_PERIOD_NANOS;
		}
		return engine.dataCentre().equals(this.here) ? LOCAL_PERIOD_NANOS : REMOTE_PERIOD_NANOS;
	}

	/**
	 * Asks an engine now, unless its last answer has just come.
	 * @param engine the engine
	 * @return its report, or why there is none
	 */
	Single<Either<String, LoadReport>> ask(Replica engine) {
		Single<Either<String, LoadReport>> running = this.inProgress.get(engine.id());
		if (running != null) {
			return running;
		}
		Answer last = this.lastAnswers.get(engine.id());
		if (last != null && System.nanoTime() - last.atNanos() < REUSE_NANOS) {
			return Single.just(last.answer());
		}
		this.askedNanos.put(engine.id(), System.nanoTime());
		Single<Either<String, LoadReport>> call = this.control.report(engine)
			.doOnSuccess((answer) -> answered(engine, answer))
			.cache();
		this.inProgress.put(engine.id(), call);
		return call;
	}

	private void answered(Replica engine, Either<String, LoadReport> answer) {
		this.inProgress.remove(engine.id());
		this.lastAnswers.put(engine.id(), new Answer(answer, System.nanoTime()));
		answer.peek((report) -> this.loads.reported(engine, report)).peekLeft((fault) -> {
			LOGGER.infof("Engine gave no report: replica=%s fault=%s", engine.id(), fault);
			this.loads.avoid(engine, System.nanoTime() + SILENT_NANOS);
		});
	}

	private record Answer(Either<String, LoadReport> answer, long atNanos) {

	}

}
