package org.burdocktray.request.admission;

import org.burdocktray.version.bundle.Organisation;

/**
 * A request for an admission slot. Thread safety: immutable.
 *
 * @param organisation the organisation of the caller
 * @param target the name of the model or service
 * @param expectedTokens the expected number of tokens of the response; 0 for a plain
 * service
 * @param deadlineNanos when the first token or the response is due, on the clock of the
 * admission control
 */
public record AdmissionRequest(Organisation organisation, String target, int expectedTokens, long deadlineNanos) {

}
