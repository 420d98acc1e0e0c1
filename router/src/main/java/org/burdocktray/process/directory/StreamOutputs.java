package org.burdocktray.process.directory;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Notices engines that have fallen silent by the streams of this VM that pass through
 * them, long before a stream counts as stalled, so that new streams need not queue behind
 * a silence. An engine is silent if no stream through it has had output for a while;
 * streams that have had none yet show nothing, since a prompt may take long. Invariant:
 * an engine without open streams is never silent. Thread safety: none, confined to one
 * event loop.
 */
public final class StreamOutputs {

	/** Several times the interval between the events of a stream. */
	static final long SILENT_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

	/** Data that follows within this time belongs to the same pass of the engines. */
	private static final long PASS_GAP_NANOS = TimeUnit.MILLISECONDS.toNanos(3);

	private static final long MEASURED_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

	private final Map<String, Engine> engines = new HashMap<>();

	private final PassListener passListener;

	/** Creates outputs without streams, whose passes are reported to no listener. */
	public StreamOutputs() {
		this((path, nanosPerPass, nowNanos) -> {
		});
	}

	/**
	 * Creates outputs without streams.
	 * @param passListener is notified of the passes of streams
	 */
	public StreamOutputs(PassListener passListener) {
		this.passListener = passListener;
	}

	/**
	 * Adds a stream whose first output has come.
	 * @param path the engines through which it passes
	 * @param nowNanos the current time of the monotonic clock
	 * @return records its further output
	 */
	public OpenStream open(Collection<Replica> path, long nowNanos) {
		List<Engine> passed = path.stream()
			.map((engine) -> this.engines.computeIfAbsent(engine.id(), Engine::new))
			.toList();
		passed.forEach((engine) -> engine.openStreams++);
		OpenStream stream = new OpenStream(passed, List.copyOf(path), nowNanos);
		stream.recordOutput(nowNanos);
		return stream;
	}

	/**
	 * Returns whether an engine has fallen silent.
	 * @param engine the engine
	 * @param nowNanos the current time of the monotonic clock
	 * @return true if streams pass through it and none has had output of late
	 */
	public boolean isSilent(Replica engine, long nowNanos) {
		Engine known = this.engines.get(engine.id());
		return known != null && nowNanos - known.lastOutputNanos > SILENT_NANOS;
	}

	/**
	 * Hears of the passes that bring the output of streams.
	 */
	public interface PassListener {

		/**
		 * Handles the measured interval between passes of a stream.
		 * @param path the engines through which it passes
		 * @param nanosPerPass the mean interval over a fraction of a second
		 * @param nowNanos the current time of the monotonic clock
		 */
		void onPasses(List<Replica> path, double nanosPerPass, long nowNanos);

	}

	private static final class Engine {

		private final String id;

		private int openStreams;

		private long lastOutputNanos;

		private Engine(String id) {
			this.id = id;
		}

	}

	/**
	 * A stream with output. Thread safety: none, confined to one event loop.
	 */
	public final class OpenStream {

		private final List<Engine> path;

		private final List<Replica> replicas;

		private long measuredSinceNanos;

		private long lastOutputNanos;

		private int passes;

		private boolean ended;

		private OpenStream(List<Engine> path, List<Replica> replicas, long nowNanos) {
			this.path = path;
			this.replicas = replicas;
			this.measuredSinceNanos = nowNanos;
			this.lastOutputNanos = nowNanos;
		}

		/**
		 * Records output.
		 * @param nowNanos the current time of the monotonic clock
		 */
		public void recordOutput(long nowNanos) {
			for (Engine engine : this.path) {
				engine.lastOutputNanos = nowNanos;
			}
			measure(nowNanos);
		}

		private void measure(long nowNanos) {
			if (nowNanos - this.lastOutputNanos >= PASS_GAP_NANOS) {
				this.passes++;
			}
			this.lastOutputNanos = nowNanos;
			long elapsedNanos = nowNanos - this.measuredSinceNanos;
			if (elapsedNanos >= MEASURED_NANOS && this.passes > 0) {
				StreamOutputs.this.passListener.onPasses(this.replicas, elapsedNanos / (double) this.passes, nowNanos);
				this.measuredSinceNanos = nowNanos;
				this.passes = 0;
			}
		}

		/** Removes the stream, which has ended or takes another path. */
		public void end() {
			if (this.ended) {
				return;
			}
			this.ended = true;
			for (Engine engine : this.path) {
				engine.openStreams--;
				if (engine.openStreams == 0) {
					StreamOutputs.this.engines.remove(engine.id);
				}
			}
		}

	}

}
