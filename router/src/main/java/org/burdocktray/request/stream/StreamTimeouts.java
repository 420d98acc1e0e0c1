package org.burdocktray.request.stream;

/**
 * Limits on the recovery of a stream. Thread safety: immutable.
 *
 * @param stallTimeoutNanos the time without a token after which the stages of an attempt
 * are probed
 * @param maxProbesWithoutProgress after how many consecutive probes without a token the
 * attempt is abandoned
 * @param maxAttempts the maximum number of attempts of one stream
 */
public record StreamTimeouts(long stallTimeoutNanos, int maxProbesWithoutProgress, int maxAttempts) {

}
