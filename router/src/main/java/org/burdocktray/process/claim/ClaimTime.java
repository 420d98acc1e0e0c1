package org.burdocktray.process.claim;

/**
 * A reading of the monotonic clock and the wall clock. Thread safety: immutable.
 *
 * @param nanos the monotonic time, for deadlines and intervals
 * @param epochSeconds the wall-clock time, for the ages of entries
 */
public record ClaimTime(long nanos, long epochSeconds) {

}
