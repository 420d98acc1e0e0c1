package org.burdocktray.process.order;

/**
 * Intervals and timeouts of the lease and the orders. Invariant: a lease that is renewed
 * on time always remains valid for one more order, that is,
 * {@code renewMillis + orderTimeoutMillis < ttlMillis}. Thread safety: immutable.
 *
 * @param ttlMillis how long one write of the lease is valid
 * @param orderTimeoutMillis how long an order may take, from the check of its deadline to
 * its effect
 * @param renewMillis the interval between writes of the lease
 * @param leasePollMillis the interval between reads of another holder's lease
 * @param loadPollMillis the interval between load queries to an engine
 * @param retryMillis the minimum time between two orders to one engine
 * @param reaffirmMillis the time after which an accepted order is sent again, because the
 * load report contains neither layers nor adapters
 */
public record OrderSettings(long ttlMillis, long orderTimeoutMillis, long renewMillis, long leasePollMillis,
		long loadPollMillis, long retryMillis, long reaffirmMillis) {

	private static final OrderSettings DEFAULTS = new OrderSettings(15_000, 3_000, 5_000, 3_000, 5_000, 5_000, 600_000);

	public OrderSettings {
		if (renewMillis + orderTimeoutMillis >= ttlMillis) {
			throw new IllegalArgumentException("ttlMillis must be greater than renewMillis + orderTimeoutMillis");
		}
	}

	/**
	 * Returns the settings used in production.
	 * @return the default settings
	 */
	public static OrderSettings defaults() {
		return DEFAULTS;
	}

}
