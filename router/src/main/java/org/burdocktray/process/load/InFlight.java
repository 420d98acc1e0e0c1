package org.burdocktray.process.load;

/**
 * A handle for one request in progress at an upstream. Closing it more than once has no
 * further effect. Thread safety: can be closed from any thread.
 */
public interface InFlight extends AutoCloseable {

	/**
	 * Records the end of the request.
	 */
	@Override
	void close();

}
