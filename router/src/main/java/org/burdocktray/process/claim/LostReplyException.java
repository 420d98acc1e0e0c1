package org.burdocktray.process.claim;

/**
 * Signals that another VM did not reply to a request, which it may have processed. The
 * exception has no stack trace, since it only terminates a reactive stream and is never
 * logged. Thread safety: immutable.
 */
final class LostReplyException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	LostReplyException() {
		super("no reply from the preferred VM", null, false, false);
	}

}
