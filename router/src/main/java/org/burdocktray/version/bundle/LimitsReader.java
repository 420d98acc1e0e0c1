package org.burdocktray.version.bundle;

import org.burdocktray.version.config.ConfigObject;
import org.burdocktray.version.config.NumberRange;

/**
 * Reads the limits on requests; each field is optional. Thread safety: stateless.
 */
final class LimitsReader {

	private static final NumberRange BODY_BYTES = NumberRange.of(1_024, 67_108_864);

	private static final NumberRange HEADER_BYTES = NumberRange.of(1_024, 65_536);

	private static final NumberRange BUFFERED_BYTES = NumberRange.of(1_024, 67_108_864);

	private static final NumberRange TIMEOUT_MILLIS = NumberRange.of(1, 3_600_000);

	private static final NumberRange RATIO = NumberRange.of(0, 1);

	private static final long DEFAULT_BODY_BYTES = 1_048_576;

	private static final long DEFAULT_HEADER_BYTES = 16_384;

	private static final long DEFAULT_REQUEST_READ_MILLIS = 10_000;

	private static final long DEFAULT_FIRST_TOKEN_MILLIS = 10_000;

	private static final long DEFAULT_BETWEEN_TOKENS_MILLIS = 1_000;

	private static final long DEFAULT_REQUEST_MILLIS = 120_000;

	private static final long DEFAULT_CALLER_IDLE_MILLIS = 30_000;

	private static final long DEFAULT_BUFFERED_BYTES = 262_144;

	private static final double DEFAULT_RETRY_RATIO = 0.1;

	private static final long DEFAULT_DRAIN_MILLIS = 120_000;

	private LimitsReader() {
	}

	static Limits read(ConfigObject object) {
		return new Limits(object.wholeNumber("maxBodyBytes", BODY_BYTES, DEFAULT_BODY_BYTES),
				(int) object.wholeNumber("maxHeaderBytes", HEADER_BYTES, DEFAULT_HEADER_BYTES),
				object.wholeNumber("requestReadTimeoutMillis", TIMEOUT_MILLIS, DEFAULT_REQUEST_READ_MILLIS),
				object.wholeNumber("firstTokenTimeoutMillis", TIMEOUT_MILLIS, DEFAULT_FIRST_TOKEN_MILLIS),
				object.wholeNumber("betweenTokensTimeoutMillis", TIMEOUT_MILLIS, DEFAULT_BETWEEN_TOKENS_MILLIS),
				object.wholeNumber("requestTimeoutMillis", TIMEOUT_MILLIS, DEFAULT_REQUEST_MILLIS),
				object.wholeNumber("callerIdleTimeoutMillis", TIMEOUT_MILLIS, DEFAULT_CALLER_IDLE_MILLIS),
				object.wholeNumber("maxBufferedBytesPerCaller", BUFFERED_BYTES, DEFAULT_BUFFERED_BYTES),
				object.number("retryBudgetRatio", RATIO, DEFAULT_RETRY_RATIO),
				object.wholeNumber("drainTimeoutMillis", TIMEOUT_MILLIS, DEFAULT_DRAIN_MILLIS));
	}

}
