package org.burdocktray.model;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * The final error response to a request. Thread safety: immutable.
 *
 * @param verdict whether the request may have run
 * @param reason the cause of the error
 * @param detail one sentence for the caller, without secrets or prompt text
 * @param retryAfterMillis after how many milliseconds the caller may retry; empty if a
 * retry does not help
 */
public record Refusal(Verdict verdict, RefusalReason reason, String detail, OptionalLong retryAfterMillis) {

	public Refusal {
		Objects.requireNonNull(verdict, "verdict");
		Objects.requireNonNull(reason, "reason");
		Objects.requireNonNull(detail, "detail");
		Objects.requireNonNull(retryAfterMillis, "retryAfterMillis");
	}

	/**
	 * Creates a refusal for a request that did not run, without a time to retry.
	 * @param reason the cause of the error
	 * @param detail one sentence for the caller
	 * @return the refusal
	 */
	public static Refusal notRun(RefusalReason reason, String detail) {
		return new Refusal(Verdict.NOT_RUN, reason, detail, OptionalLong.empty());
	}

	/**
	 * Creates a refusal for a request that did not run and may be retried later.
	 * @param reason the cause of the error
	 * @param detail one sentence for the caller
	 * @param retryAfterMillis after how many milliseconds the caller may retry
	 * @return the refusal
	 */
	public static Refusal notRunRetryAfter(RefusalReason reason, String detail, long retryAfterMillis) {
		return new Refusal(Verdict.NOT_RUN, reason, detail, OptionalLong.of(retryAfterMillis));
	}

	/**
	 * Creates an error for a request that was sent to an upstream and whose outcome is
	 * unknown.
	 * @param reason the cause of the error
	 * @param detail one sentence for the caller
	 * @return the error
	 */
	public static Refusal mayHaveRun(RefusalReason reason, String detail) {
		return new Refusal(Verdict.MAY_HAVE_RUN, reason, detail, OptionalLong.empty());
	}

}
