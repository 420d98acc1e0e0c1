package org.burdocktray.process.limits;

import java.util.concurrent.TimeUnit;

/**
 * Bounds the requests of other VMs that this VM relays, so that its own callers do not
 * suffer: by their number, and by how late this VM is with its own work on average.
 * Thread safety: none, confined to one event loop.
 */
public final class RelayLimit {

	private static final int MAX_IN_PROGRESS = 192;

	/** The mean delay of periodic work up to which other VMs' requests are taken on. */
	private static final double MAX_MEAN_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	/** The weight of the latest delay; a single pause is no overload. */
	private static final double LATEST_WEIGHT = 0.1;

	private int inProgress;

	private double meanDelayNanos;

	/**
	 * Records how late periodic work was.
	 * @param delayNanos the time between when it was due and when it ran
	 */
	public void recordDelay(long delayNanos) {
		this.meanDelayNanos += LATEST_WEIGHT * (Math.max(0, delayNanos) - this.meanDelayNanos);
	}

	/**
	 * Returns whether this VM can relay another request.
	 * @return false at the largest number, and while this VM is late
	 */
	public boolean hasRoom() {
		return this.meanDelayNanos <= MAX_MEAN_DELAY_NANOS && this.inProgress < MAX_IN_PROGRESS;
	}

	/** Records that a request of another VM is taken on. */
	public void recordStart() {
		this.inProgress++;
	}

	/** Records that a request of another VM has ended. */
	public void recordEnd() {
		this.inProgress--;
	}

	/**
	 * Returns the number of requests of other VMs in progress.
	 * @return 0 or more
	 */
	public int inProgress() {
		return this.inProgress;
	}

}
