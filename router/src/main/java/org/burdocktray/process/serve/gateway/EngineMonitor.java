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
import org.burdocktray.process.directory.ReportDuty;
import org.jboss.logging.Logger;

/**
 * Asks engines for their load as {@link ReportDuty} decides. Calls to one engine that
 * overlap become one. Thread safety: none, confined to one event loop.
 */
final class EngineMonitor {

	private static final Logger LOGGER = Logger.getLogger(EngineMonitor.class);

	/** How long an answer serves others who ask. */
	private static final long REUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

	/** How long an engine that did not answer is avoided. */
	static final long SILENT_NANOS = TimeUnit.SECONDS.toNanos(2);

	private final ReportDuty duty;

	private final ReplicaControl control;

	private final ReplicaLoads loads;

	private final Map<String, Single<Either<String, LoadReport>>> inProgress = new HashMap<>();

	private final Map<String, Answer> lastAnswers = new HashMap<>();

	private BiConsumer<Replica, Either<String, LoadReport>> onAnswer = (engine, answer) -> {
	};

	EngineMonitor(ReportDuty duty, ReplicaControl control, ReplicaLoads loads) {
		this.duty = duty;
		this.control = control;
		this.loads = loads;
	}

	/**
	 * Sets who is told of engines' answers.
	 * @param listener takes an engine and its answer
	 */
	void onAnswer(BiConsumer<Replica, Either<String, LoadReport>> listener) {
		this.onAnswer = listener;
	}

	/**
	 * Asks the engines whose report is due from this VM.
	 * @param engines the engines that get work
	 * @param nowNanos the time
	 */
	void tick(List<Replica> engines, long nowNanos) {
		this.duty.due(engines, nowNanos).forEach((engine) -> ask(engine).subscribe());
	}

	/**
	 * Takes in what another VM heard of an engine.
	 * @param engine the engine
	 * @param report its report, empty when it gave none
	 */
	void heard(Replica engine, Optional<LoadReport> report) {
		this.duty.known(engine.id(), System.nanoTime());
		report.ifPresentOrElse((load) -> this.loads.reported(engine, load, System.nanoTime()),
				() -> this.loads.avoid(engine, System.nanoTime() + SILENT_NANOS));
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
		this.duty.known(engine.id(), System.nanoTime());
		Single<Either<String, LoadReport>> call = this.control.report(engine)
			.doOnSuccess((answer) -> answered(engine, answer))
			.cache();
		this.inProgress.put(engine.id(), call);
		return call;
	}

	private void answered(Replica engine, Either<String, LoadReport> answer) {
		this.inProgress.remove(engine.id());
		this.lastAnswers.put(engine.id(), new Answer(answer, System.nanoTime()));
		this.onAnswer.accept(engine, answer);
		answer.peek((report) -> this.loads.reported(engine, report, System.nanoTime())).peekLeft((fault) -> {
			LOGGER.infof("Engine gave no report: replica=%s fault=%s", engine.id(), fault);
			this.loads.avoid(engine, System.nanoTime() + SILENT_NANOS);
		});
	}

	private record Answer(Either<String, LoadReport> answer, long atNanos) {

	}

}
