package org.burdocktray.process.metrics;

import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * The text of all metrics, which is written again only after a multiple of the time that
 * it took. So scrapes in quick succession take a bounded share of the processor.
 * Invariant: a scrape is never older than that multiple. Thread safety: thread-safe.
 */
public final class CachedScrape {

	/** The reciprocal of the share of the time that is spent on scrapes. */
	private static final int AGE_FACTOR = 20;

	private final Supplier<String> writer;

	private final LongSupplier nanoClock;

	private String text = "";

	private long expiresNanos;

	private boolean isWritten;

	/**
	 * Creates a cache without a text.
	 * @param writer writes the text
	 * @param nanoClock the monotonic time
	 */
	public CachedScrape(Supplier<String> writer, LongSupplier nanoClock) {
		this.writer = writer;
		this.nanoClock = nanoClock;
	}

	/**
	 * Returns the metrics.
	 * @return the text
	 */
	public synchronized String get() {
		long startNanos = this.nanoClock.getAsLong();
		if (!this.isWritten || startNanos - this.expiresNanos >= 0) {
			this.text = this.writer.get();
			long endNanos = this.nanoClock.getAsLong();
			this.expiresNanos = endNanos + AGE_FACTOR * (endNanos - startNanos);
			this.isWritten = true;
		}
		return this.text;
	}

}
