package org.burdocktray.process.freshness;

import java.util.concurrent.TimeUnit;

/**
 * Decides how long calls for changes of the rules wait. Each answer renews the evidence
 * that the rules are in force, so short waits let a VM accept keys for longer once the
 * store is lost; each call costs the platform, so a VM with few callers makes fewer.
 * Thread safety: none, confined to one event loop.
 */
public final class RulesPollInterval {

	private static final long REQUESTS_PER_CALL = 8;

	private final RulesFreshness freshness;

	private long sinceNanos;

	private long requests;

	/**
	 * Creates the decision for a VM without requests.
	 * @param freshness the bound of the rules' age
	 * @param nowNanos the time
	 */
	public RulesPollInterval(RulesFreshness freshness, long nowNanos) {
		this.freshness = freshness;
		this.sinceNanos = nowNanos;
	}

	/** Notes that a request with a key has come. */
	public void recordKeyedRequest() {
		this.requests++;
	}

	/**
	 * Returns how long the next call waits, by the requests since the last one.
	 * @param nowNanos the time
	 * @return milliseconds, within the bounds that the freshness sets
	 */
	public long nextWaitMillis(long nowNanos) {
		long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - this.sinceNanos);
		long wanted = REQUESTS_PER_CALL * elapsedMillis / Math.max(1, this.requests);
		this.sinceNanos = nowNanos;
		this.requests = 0;
		return Math.max(this.freshness.minWaitMillis(), Math.min(wanted, this.freshness.maxWaitMillis()));
	}

}
