package org.burdocktray.process.overload;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Knows when the capacity of a service was lost or came back, so that requests that are
 * late for this reason alone are not taken for a sign of too much demand. Invariant: two
 * changes that count are at least {@link #SETTLING_NANOS} apart, so changes in quick
 * succession count once. A capacity that goes on changing at that interval keeps the
 * threshold as it is, and so hides an overload. Thread safety: none, confined to one
 * event loop.
 */
public final class CapacityChanges {

	/**
	 * How long outcomes of the time before a change are still reported: their window and
	 * the interval of the reports.
	 */
	static final long SETTLING_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);

	/** How long requests queue behind those that have waited for lost capacity. */
	private static final long BACKLOG_NANOS = TimeUnit.MILLISECONDS.toNanos(750);

	/** Smaller changes are left to the threshold. */
	private static final double MIN_CHANGE_RATIO = 0.25;

	/** The capacity after the last change that counted. */
	private double reference;

	private boolean isKnown;

	private boolean isNone;

	private boolean isSettling;

	private OptionalLong changedNanos = OptionalLong.empty();

	/**
	 * Records the present capacity.
	 * @param capacity the capacity in any unit, 0 if nothing can be served
	 * @param nowNanos the current time of the monotonic clock
	 */
	public void update(double capacity, long nowNanos) {
		this.isNone = this.isKnown && capacity <= 0;
		boolean mayChange = this.changedNanos.isEmpty() || nowNanos - this.changedNanos.getAsLong() >= SETTLING_NANOS;
		if (!this.isKnown) {
			this.isKnown = capacity > 0;
			this.reference = capacity;
		}
		else if (mayChange && Math.abs(capacity - this.reference) > MIN_CHANGE_RATIO * this.reference) {
			this.reference = capacity;
			this.changedNanos = OptionalLong.of(nowNanos);
		}
		this.isSettling = this.changedNanos.isPresent() && nowNanos - this.changedNanos.getAsLong() < SETTLING_NANOS;
	}

	/**
	 * Returns whether nothing can be served after something could.
	 * @return false if no capacity was ever known
	 */
	public boolean isNone() {
		return this.isNone;
	}

	/**
	 * Returns whether the outcomes that are reported may be those of another capacity.
	 * @return true for some time after each change that counts
	 */
	public boolean isSettling() {
		return this.isSettling;
	}

	/**
	 * Returns whether a late request says nothing about the demand.
	 * @param startNanos the time at which it came
	 * @return true if the capacity has changed since then or shortly before, or there is
	 * none
	 */
	public boolean explainsLate(long startNanos) {
		return this.isNone
				|| (this.changedNanos.isPresent() && startNanos - this.changedNanos.getAsLong() < BACKLOG_NANOS);
	}

}
