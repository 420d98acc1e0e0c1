package org.burdocktray.request.stream;

/**
 * Bounds on the recovery of a stream. Thread safety: immutable.
 *
 * @param stallTimeoutNanos how long an attempt may be silent before its stages are probed
 * @param maxProbesWithoutProgress after how many probes without a token between them the
 * attempt is given up
 * @param maxAttempts the most attempts of one stream
 */
public record StreamTimeouts(long stallTimeoutNanos, int maxProbesWithoutProgress, int maxAttempts) {

}
