package org.burdocktray.process.serve.gateway;

import org.burdocktray.model.Verdict;
import org.burdocktray.request.forward.AttemptOutcome;

/**
 * The refusal of a VM to which a request was relayed. Thread safety: immutable.
 *
 * @param status the HTTP status
 * @param verdict whether the request has run
 * @param retryAfterSeconds when the caller may come again, 0 if the VM does not say so
 * @param isDeclined whether the VM cannot relay now, so that another one may
 * @param isUnsent whether the VM states that it has sent the request to no replica
 */
record RelayRefusal(int status, Verdict verdict, double retryAfterSeconds, boolean isDeclined, boolean isUnsent) {

	AttemptOutcome outcome() {
		// What may have run is never sent again because of the other header.
		if (this.isDeclined && this.verdict == Verdict.NOT_RUN) {
			return this.isUnsent ? AttemptOutcome.DECLINED : AttemptOutcome.REJECTED;
		}
		return switch (this.verdict) {
			case NOT_RUN -> AttemptOutcome.REJECTED;
			case MAY_HAVE_RUN -> AttemptOutcome.LOST;
			case RAN -> AttemptOutcome.FAILED;
		};
	}

	String cause() {
		return (this.isDeclined ? "declined" : "refused") + " by a VM that relays: status " + this.status;
	}

}
