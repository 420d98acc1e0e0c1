package org.burdocktray.request.hedge;

import java.util.List;

import org.burdocktray.process.directory.Replica;

/**
 * Knows whether replicas have capacity that no first run needs.
 */
@FunctionalInterface
public interface HedgeCapacity {

	/**
	 * Returns whether a second run takes nothing from other requests.
	 * @param service the name of the service
	 * @param replicas the replicas that it would run on
	 * @return false if first runs need what is left
	 */
	boolean isAvailable(String service, List<Replica> replicas);

}
