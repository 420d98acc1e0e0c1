package org.burdocktray.process.burn;

/**
 * A span of time. Thread safety: immutable.
 *
 * @param fromMillis the start, in milliseconds since 1970
 * @param toMillis the end, in milliseconds since 1970
 */
public record TimeSpan(long fromMillis, long toMillis) {

	/**
	 * Returns the span with a given end and length.
	 * @param toMillis the end, in milliseconds since 1970
	 * @param lengthMillis the length
	 * @return the span
	 */
	public static TimeSpan endingAt(long toMillis, long lengthMillis) {
		return new TimeSpan(toMillis - lengthMillis, toMillis);
	}

	/**
	 * Returns the length of the span.
	 * @return the length in milliseconds
	 */
	public long lengthMillis() {
		return this.toMillis - this.fromMillis;
	}

}
