package org.burdocktray.request.hedge;

/**
 * Requests whose first events are expected after similar times. Thread safety: immutable.
 *
 * @param route the name of the route
 * @param service the name of the service
 * @param sizeClass the class of the request's size, 0 for the smallest
 */
public record HedgeClass(String route, String service, int sizeClass) {

	/** Sizes of one class differ by a factor of 4 at most. */
	private static final int BITS_PER_CLASS = 2;

	private static final int MAX_SIZE_CLASS = 11;

	/**
	 * Returns the class of a request.
	 * @param route the name of the route
	 * @param service the name of the service
	 * @param size the tokens of the prompt, or the bytes of the body
	 * @return the class
	 */
	public static HedgeClass of(String route, String service, long size) {
		int bits = Long.SIZE - Long.numberOfLeadingZeros(Math.max(0, size));
		return new HedgeClass(route, service, Math.min(MAX_SIZE_CLASS, bits / BITS_PER_CLASS));
	}

}
