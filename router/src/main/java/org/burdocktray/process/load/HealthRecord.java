package org.burdocktray.process.load;

/**
 * The recent successes and failures of one upstream. Invariant: an ejected upstream has a
 * time at which its probe starts. Thread safety: not thread-safe, confined to its
 * {@link OutlierEjection}.
 */
final class HealthRecord {

	/** The phases of an upstream's health. */
	enum Phase {

		HEALTHY,

		EJECTED,

		PROBING

	}

	private final String group;

	private Phase phase = Phase.HEALTHY;

	private int consecutiveFailures;

	private int windowRequests;

	private int windowFailures;

	private long windowStartNanos;

	private int ejections;

	private long phaseEndNanos;

	private long healthySinceNanos;

	HealthRecord(String group, long nowNanos) {
		this.group = group;
		this.windowStartNanos = nowNanos;
		this.healthySinceNanos = nowNanos;
	}

	String group() {
		return this.group;
	}

	Phase phase() {
		return this.phase;
	}

	void recordSuccess(long nowNanos, EjectionSettings settings) {
		rollWindow(nowNanos, settings);
		this.consecutiveFailures = 0;
		this.windowRequests++;
		if (nowNanos - this.healthySinceNanos >= settings.backoffResetNanos()) {
			this.ejections = 0;
		}
	}

	void recordFailure(long nowNanos, EjectionSettings settings) {
		rollWindow(nowNanos, settings);
		this.consecutiveFailures++;
		this.windowRequests++;
		this.windowFailures++;
	}

	boolean isOutlier(EjectionSettings settings) {
		if (this.consecutiveFailures >= settings.consecutiveFailures()) {
			return true;
		}
		return this.windowRequests >= settings.minWindowRequests()
				&& this.windowFailures >= settings.failureRate() * this.windowRequests;
	}

	/**
	 * Starts an ejection.
	 * @param nowNanos the current time
	 * @param settings the settings in effect
	 * @return its duration in nanoseconds; it doubles with each ejection up to the
	 * maximum
	 */
	long eject(long nowNanos, EjectionSettings settings) {
		long durationNanos = settings.ejectionNanos(this.ejections);
		this.ejections++;
		this.phase = Phase.EJECTED;
		this.phaseEndNanos = nowNanos + durationNanos;
		return durationNanos;
	}

	/**
	 * Starts a probe if the ejection or the timeout of an unanswered probe has ended.
	 * @param nowNanos the current time
	 * @param settings the settings in effect
	 * @return whether a probe is due
	 */
	boolean startProbe(long nowNanos, EjectionSettings settings) {
		if (this.phase == Phase.HEALTHY || nowNanos - this.phaseEndNanos < 0) {
			return false;
		}
		this.phase = Phase.PROBING;
		this.phaseEndNanos = nowNanos + settings.probeTimeoutNanos();
		return true;
	}

	void restore(long nowNanos) {
		this.phase = Phase.HEALTHY;
		this.healthySinceNanos = nowNanos;
		this.consecutiveFailures = 0;
		startWindow(nowNanos);
	}

	private void rollWindow(long nowNanos, EjectionSettings settings) {
		if (nowNanos - this.windowStartNanos >= settings.windowNanos()) {
			startWindow(nowNanos);
		}
	}

	private void startWindow(long nowNanos) {
		this.windowStartNanos = nowNanos;
		this.windowRequests = 0;
		this.windowFailures = 0;
	}

}
