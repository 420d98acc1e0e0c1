package org.burdocktray.request.forward;

/**
 * Is thrown when a stream continues without a complete event that has an id. Thread
 * safety: immutable.
 */
public final class EventTooLargeException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	EventTooLargeException(String message) {
		super(message);
	}

}
