package org.burdocktray.process.balance;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.burdocktray.process.directory.Replica;
import org.burdocktray.process.directory.StreamOutputs;

/**
 * Notices engines and links that have become slow by the streams of this VM that pass
 * through them, before a report says so. The interval between passes of a path is
 * compared with its mean over some seconds. An engine through which another path runs at
 * its usual pace is not slow. A pace that stays becomes the mean of the path; by then
 * reports state it. Thread safety: none, confined to one event loop.
 */
public final class EnginePace implements StreamOutputs.PassListener {

	/**
	 * The slowdown from which an engine counts as slow; prompts alone can double a pass.
	 */
	private static final double MIN_SLOWDOWN = 2;

	private static final double MAX_SLOWDOWN = 10;

	/** How long a measured slowdown counts. */
	private static final long HOLD_NANOS = TimeUnit.SECONDS.toNanos(1);

	private static final double MEMORY_SECONDS = 8;

	private static final int MIN_MEASUREMENTS = 4;

	/** The number of paths, and of engines, that are remembered. */
	private static final int MAX_ENTRIES = 512;

	private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

	private final Map<List<String>, PathPace> paths = new LatestEntries<>();

	private final Map<String, EngineSlowdown> engines = new LatestEntries<>();

	@Override
	public void onPasses(List<Replica> path, double nanosPerPass, long nowNanos) {
		List<String> ids = path.stream().map(Replica::id).toList();
		PathPace pace = this.paths.computeIfAbsent(ids, (key) -> new PathPace());
		boolean isMature = pace.measurements >= MIN_MEASUREMENTS;
		double slowdown = pace.add(nanosPerPass, nowNanos);
		if (!isMature) {
			return;
		}
		for (String id : ids) {
			EngineSlowdown known = this.engines.get(id);
			boolean isLapsed = known == null || nowNanos - known.measuredNanos() > HOLD_NANOS;
			if (isLapsed || slowdown <= known.slowdown() || known.path().equals(ids)) {
				this.engines.put(id, new EngineSlowdown(ids, slowdown, nowNanos));
			}
		}
	}

	/**
	 * Returns by which factor an engine is slower than usual.
	 * @param engine the engine
	 * @param nowNanos the current time of the monotonic clock
	 * @return 1 if it is not noticeably slower, as far as this VM has seen of late
	 */
	public double slowdown(Replica engine, long nowNanos) {
		EngineSlowdown known = this.engines.get(engine.id());
		boolean isSlow = known != null && known.slowdown() >= MIN_SLOWDOWN
				&& nowNanos - known.measuredNanos() <= HOLD_NANOS;
		return isSlow ? Math.min(MAX_SLOWDOWN, known.slowdown()) : 1;
	}

	/**
	 * Drops the entries that have not been used for the longest time.
	 */
	private static final class LatestEntries<K, V> extends LinkedHashMap<K, V> {

		private static final long serialVersionUID = 1L;

		LatestEntries() {
			super(16, 0.75f, true);
		}

		@Override
		protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
			return size() > MAX_ENTRIES;
		}

	}

	private record EngineSlowdown(List<String> path, double slowdown, long measuredNanos) {

	}

	private static final class PathPace {

		private double meanNanos;

		private int measurements;

		private long measuredNanos;

		// Returns by which factor the interval exceeds the mean before it. There is no
		// usual pace to compare with until there are MIN_MEASUREMENTS.
		double add(double nanosPerPass, long nowNanos) {
			double slowdown = nanosPerPass / this.meanNanos;
			double seconds = (nowNanos - this.measuredNanos) / NANOS_PER_SECOND;
			double weight = (this.measurements < MIN_MEASUREMENTS) ? 1.0 / (this.measurements + 1)
					: 1 - Math.exp(-seconds / MEMORY_SECONDS);
			this.measurements = Math.min(MIN_MEASUREMENTS, this.measurements + 1);
			this.meanNanos += weight * (nanosPerPass - this.meanNanos);
			this.measuredNanos = nowNanos;
			return slowdown;
		}

	}

}
