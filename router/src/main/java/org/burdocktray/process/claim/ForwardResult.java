package org.burdocktray.process.claim;

/**
 * The result of forwarding one item to another VM. Thread safety: immutable.
 *
 * @param <T> the type of the reply
 */
sealed interface ForwardResult<T> {

	/**
	 * The other VM replied.
	 *
	 * @param reply the reply
	 * @param <T> the type of the reply
	 */
	record Replied<T>(T reply) implements ForwardResult<T> {

	}

	/**
	 * The item was not sent.
	 *
	 * @param <T> the type of the reply
	 */
	record NotSent<T>() implements ForwardResult<T> {

	}

	/**
	 * The item was sent without a reply; the other VM may or may not have processed it.
	 *
	 * @param <T> the type of the reply
	 */
	record Unresolved<T>() implements ForwardResult<T> {

	}

}
