package org.burdocktray.standins;

/**
 * The JSON body of an error response. Thread safety: immutable.
 *
 * @param ran whether the call has run: {@code no}, {@code unknown} or {@code yes}
 * @param detail the reason
 */
public record Problem(String ran, String detail) {

	/**
	 * Creates the body for a call that has not run.
	 * @param detail the reason
	 * @return the body
	 */
	public static Problem notRun(String detail) {
		return new Problem("no", detail);
	}

}
