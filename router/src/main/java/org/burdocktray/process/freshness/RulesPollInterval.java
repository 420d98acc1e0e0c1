package org.burdocktray.process.freshness;

import java.util.concurrent.TimeUnit;

/**
 * Computes the wait of long-poll calls for changes of the rules. Each response confirms
 * that the rules are in force, so with short waits a VM accepts keys for longer after the
 * store becomes unavailable. Each call is load for the platform, so a VM with few
 * requests makes fewer calls. Thread safety: none, confined to one event loop.
 */
public final class RulesPollInterval {

	private static final long REQUESTS_PER_CALL = 8;

	private final RulesFreshness freshness;

	private long lastCallNanos;

	private long requests;

	/**
	 * Creates an instance without recorded requests.
	 * @param freshness the bound on the age of the rules
	 * @param nowNanos the current time of the monotonic clock
	 */
	public RulesPollInterval(RulesFreshness freshness, long nowNanos) {
		this.freshness = freshness;
		this.lastCallNanos = nowNanos;
	}

	/** Records a request with a key. */
	public void recordKeyedRequest() {
		this.requests++;
	}

	/**
	 * Returns the wait of the next call, based on the rate of requests since the last
	 * one. Resets the request count.
	 * @param nowNanos the current time of the monotonic clock
	 * @return milliseconds, within the limits set by the freshness bound
	 */
	public long nextWaitMillis(long nowNanos) {
		long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - this.lastCallNanos);
		long desiredMillis = REQUESTS_PER_CALL * elapsedMillis / Math.max(1, this.requests);
		this.lastCallNanos = nowNanos;
		this.requests = 0;
		return Math.max(this.freshness.minWaitMillis(), Math.min(desiredMillis, this.freshness.maxWaitMillis()));
	}

}
