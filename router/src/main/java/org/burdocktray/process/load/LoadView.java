package org.burdocktray.process.load;

/**
 * A view of all upstreams' load and health. Thread safety: implementations can be read
 * from any thread and never block.
 */
@FunctionalInterface
public interface LoadView {

	/**
	 * Returns the load and health of an upstream.
	 * @param upstreamName the name of the upstream
	 * @return its status; {@link UpstreamStatus#unknown()} if there is no information
	 * about it
	 */
	UpstreamStatus status(String upstreamName);

}
