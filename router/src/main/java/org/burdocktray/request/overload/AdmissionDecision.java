package org.burdocktray.request.overload;

import java.util.OptionalDouble;

/**
 * Whether a request is admitted. Thread safety: immutable.
 */
public sealed interface AdmissionDecision {

	/** The request may be forwarded. */
	record Admitted() implements AdmissionDecision {

	}

	/**
	 * The request is rejected before anything is sent.
	 *
	 * @param cause the reason, for logs and the response to the caller
	 * @param retryAfterSeconds when the caller may come again, empty if that is in vain
	 */
	record Rejected(String cause, OptionalDouble retryAfterSeconds) implements AdmissionDecision {

	}

}
