package org.burdocktray.request.hedge;

import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.jboss.logging.Logger;

/**
 * Finds out whether all replicas of a service are slow, by the share of requests without
 * a first event at the time at which their second run would start. A second run is no
 * faster then, and adds to the load. Thread safety: none, confined to one event loop.
 */
final class OverdueShare {

	private static final Logger LOGGER = Logger.getLogger(OverdueShare.class);

	private static final int MAX_SERVICES = 256;

	private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(2);

	/**
	 * The share of overdue requests above which all replicas count as slow.
	 */
	private static final double MAX_SHARE = 0.25;

	/** The share below which a slow service counts as sound again. */
	private static final double MAX_SOUND_SHARE = 0.125;

	/** A few late requests of an idle service show nothing. */
	private static final int MIN_OVERDUE = 4;

	private final Map<String, Service> services = new BoundedMap<>(MAX_SERVICES);

	void recordStart(String service, long nowNanos) {
		service(service).started.add(1, nowNanos);
	}

	void recordOverdue(String service, long nowNanos) {
		service(service).overdue.add(1, nowNanos);
	}

	boolean isServiceSlow(String service, long nowNanos) {
		Service counts = service(service);
		int overdue = counts.overdue.upperBound(nowNanos);
		int started = counts.started.upperBound(nowNanos);
		double maxShare = counts.slow ? MAX_SOUND_SHARE : MAX_SHARE;
		boolean isSlow = overdue >= MIN_OVERDUE && overdue > maxShare * started;
		if (isSlow != counts.slow) {
			counts.slow = isSlow;
			LOGGER.infof("Hedging %s: service=%s overdue=%d started=%d", isSlow ? "stops" : "goes on", service, overdue,
					started);
		}
		return isSlow;
	}

	private Service service(String name) {
		return this.services.computeIfAbsent(name, (added) -> new Service());
	}

	private static final class Service {

		private final SlidingCount started = new SlidingCount(WINDOW_NANOS);

		private final SlidingCount overdue = new SlidingCount(WINDOW_NANOS);

		private boolean slow;

	}

}
