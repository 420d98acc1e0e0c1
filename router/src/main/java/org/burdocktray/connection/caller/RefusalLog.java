package org.burdocktray.connection.caller;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.jboss.logging.Logger;

/**
 * Counts the clients of a listener that are turned away, and logs the first and then the
 * number of them at most once in an interval for each reason. Thread safety: thread-safe.
 */
public final class RefusalLog implements ClientConnections.Listener {

	private static final Logger LOGGER = Logger.getLogger(RefusalLog.class);

	private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

	private final String listener;

	private final Consumer<ClientRefusal> counter;

	private final Map<ClientRefusal, Interval> intervals = new EnumMap<>(ClientRefusal.class);

	/**
	 * Creates a log.
	 * @param listener the name of the listener
	 * @param counter counts each refusal
	 */
	public RefusalLog(String listener, Consumer<ClientRefusal> counter) {
		this.listener = listener;
		this.counter = counter;
	}

	@Override
	public synchronized void onRefused(ClientRefusal refusal) {
		this.counter.accept(refusal);
		long nowNanos = System.nanoTime();
		Interval interval = this.intervals.get(refusal);
		if (interval != null && nowNanos - interval.startNanos < INTERVAL_NANOS) {
			interval.count++;
			return;
		}
		LOGGER.warnf("Client turned away: listener=%s reason=%s cause=%s others=%d", this.listener, refusal.wireName(),
				refusal.cause(), (interval != null) ? interval.count : 0);
		this.intervals.put(refusal, new Interval(nowNanos));
	}

	/** A time span after a logged refusal. */
	private static final class Interval {

		private final long startNanos;

		private int count;

		Interval(long startNanos) {
			this.startNanos = startNanos;
		}

	}

}
