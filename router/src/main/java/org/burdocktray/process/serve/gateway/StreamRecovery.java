package org.burdocktray.process.serve.gateway;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.vavr.control.Either;
import org.burdocktray.process.directory.LoadReport;
import org.burdocktray.process.directory.Replica;

/**
 * Finds out why a stream on engines is silent, and takes it past the engine that holds it
 * up. The first engine of its path is asked; it knows for which engine the stream waits.
 * Then all streams through that engine change their path behind the first engine, which
 * keeps what the other engines have read, or are resumed elsewhere. Thread safety:
 * confined to one event loop.
 */
final class StreamRecovery {

	/** The silence of a stream after which its first engine is asked. */
	private static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	/** The silence after which a stream through a dead engine takes another path. */
	private static final long SILENCE_BEHIND_DEAD_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

	/** Answers of a first engine without a reason after which the stream leaves it. */
	private static final int UNEXPLAINED_ANSWERS = 2;

	private static final long AVOID_DEAD_NANOS = TimeUnit.SECONDS.toNanos(2);

	private final GatewayContext context;

	private final Admitted admitted;

	private final TargetChoice choice;

	private final Owner owner;

	private long progressNanos = System.nanoTime();

	private long askedNanos = System.nanoTime();

	private boolean changingPath;

	private int unexplained;

	StreamRecovery(GatewayContext context, Admitted admitted, TargetChoice choice, Owner owner) {
		this.context = context;
		this.admitted = admitted;
		this.choice = choice;
		this.owner = owner;
	}

	/**
	 * Notes that an attempt begins.
	 * @param isResumed whether the caller has had events already, and waits for the next
	 */
	void sending(boolean isResumed) {
		this.askedNanos = System.nanoTime();
		this.changingPath = false;
		this.unexplained = 0;
		if (!isResumed) {
			this.progressNanos = this.askedNanos;
		}
	}

	/** Notes that bytes of the stream came. */
	void progressed() {
		this.progressNanos = System.nanoTime();
		this.unexplained = 0;
	}

	long progressNanos() {
		return this.progressNanos;
	}

	void check(Attempt running, long nowNanos) {
		boolean isSilent = nowNanos - this.progressNanos > SILENCE_NANOS && nowNanos - this.askedNanos > SILENCE_NANOS;
		if (!isSilent || this.changingPath || !running.isOnEngines()) {
			return;
		}
		this.askedNanos = nowNanos;
		this.context.monitor().ask(running.target().replica()).subscribe((answer) -> headAnswered(running, answer));
	}

	void engineIsDead(Attempt running, Replica engine) {
		boolean isSilent = System.nanoTime() - this.progressNanos > SILENCE_BEHIND_DEAD_NANOS;
		if (!isSilent || this.changingPath || !running.isOnEngines() || !running.target().contains(engine)) {
			return;
		}
		Optional<Target> other = this.choice.behindHead(running.target());
		Optional<String> requestId = this.admitted.head().requestId();
		if (other.isEmpty() || requestId.isEmpty()) {
			this.owner.leave(running, "engine " + engine.id() + " is silent");
			return;
		}
		this.changingPath = true;
		this.context.control()
			.repath(requestId.get(), other.get().path().orElseThrow())
			.subscribe((result) -> pathChanged(running, other.get(), engine, result));
	}

	private void headAnswered(Attempt asked, Either<String, LoadReport> answer) {
		if (!this.owner.isCurrent(asked)) {
			return;
		}
		if (answer.isLeft()) {
			this.owner.leave(asked, "first engine is silent: " + answer.getLeft());
			return;
		}
		Optional<LoadReport.StalledRequest> found = answer.get()
			.stalled()
			.stream()
			.filter((stalled) -> this.admitted.head().requestId().equals(Optional.of(stalled.requestId())))
			.findFirst();
		if (found.isEmpty()) {
			notStalled(asked, answer.get());
			return;
		}
		this.context.directory().at(found.get().waitsFor()).ifPresent((engine) -> {
			this.context.loads().avoid(engine, System.nanoTime() + AVOID_DEAD_NANOS);
			this.owner.engineFound(engine);
		});
	}

	// An engine with nothing in its queue that waits for no other one has no reason to be
	// silent, whatever it reports.
	private void notStalled(Attempt asked, LoadReport report) {
		if (report.queued() > 0) {
			this.unexplained = 0;
			return;
		}
		this.unexplained++;
		if (this.unexplained >= UNEXPLAINED_ANSWERS) {
			this.owner.leave(asked, "first engine reports no reason for its silence");
		}
	}

	private void pathChanged(Attempt stuck, Target next, Replica engine, ReplicaControl.OrderAnswer result) {
		if (!this.owner.isCurrent(stuck)) {
			return;
		}
		this.changingPath = false;
		RequestEvents.pathChanged(this.admitted, next, engine, result);
		if (result == ReplicaControl.OrderAnswer.ACCEPTED) {
			progressed();
			stuck.moved(next);
			return;
		}
		this.owner.leave(stuck, "path could not be changed: " + result);
	}

	/**
	 * The request whose stream is watched.
	 */
	interface Owner {

		/**
		 * Tells whether an attempt is still the one whose answer counts.
		 * @param attempt the attempt
		 * @return whether it is
		 */
		boolean isCurrent(Attempt attempt);

		/**
		 * Gives up an attempt and goes on elsewhere, if the request may be sent again.
		 * @param attempt the attempt
		 * @param cause why
		 */
		void leave(Attempt attempt, String cause);

		/**
		 * Takes in that an engine holds streams up.
		 * @param engine the engine
		 */
		void engineFound(Replica engine);

	}

}
