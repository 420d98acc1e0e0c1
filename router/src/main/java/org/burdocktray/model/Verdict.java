package org.burdocktray.model;

/**
 * Whether a request may have run at an upstream.
 *
 * Invariant: a verdict states no more than the evidence shows. {@link #NOT_RUN} is used
 * only if no upstream can have processed a byte of the request. Thread safety: immutable.
 */
public enum Verdict {

	/** The request did not run and will not run later. */
	NOT_RUN("no"),

	/** The request was sent to an upstream and its outcome is unknown. */
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
	 * Combines the verdicts on two attempts of one request.
	 * @param other the verdict on the other attempt
	 * @return {@link #RAN} if either attempt ran, else {@link #MAY_HAVE_RUN} if either
	 * may have run, else {@link #NOT_RUN}
	 */
	public Verdict combine(Verdict other) {
		return (this.compareTo(other) >= 0) ? this : other;
	}

}
