package org.burdocktray.model;

/**
 * Says whether a request may have run at an upstream.
 *
 * Invariant: a verdict is never stronger than what is known. {@link #NOT_RUN} is used
 * only where no byte of the request can have been processed by an upstream. Thread
 * safety: immutable.
 */
public enum Verdict {

	/** The request did not run and will not run later. */
	NOT_RUN("no"),

	/** The request was dispatched and its outcome is not known. */
	MAY_HAVE_RUN("unknown"),

	/** The request ran. */
	RAN("yes");

	private final String wireName;

	Verdict(String wireName) {
		this.wireName = wireName;
	}

	/**
	 * Returns the value of the {@code ran} member in problem details.
	 * @return {@code no}, {@code unknown} or {@code yes}
	 */
	public String wireName() {
		return this.wireName;
	}

	/**
	 * Combines the verdicts of two attempts of one request.
	 * @param other the verdict of the other attempt
	 * @return what can be said of both together
	 */
	public Verdict combine(Verdict other) {
		return (this.compareTo(other) >= 0) ? this : other;
	}

}
