package org.burdocktray.process.overload;

import org.burdocktray.process.demand.ClassLoad;

/**
 * The load of one priority of a service in the whole fleet. Thread safety: immutable.
 *
 * @param utilisation the part of the estimated capacity that all arriving requests of
 * this priority need
 * @param begun the part of the estimated capacity that the requests needed that have
 * begun lately
 * @param onTimePerSecond the admitted requests that were served in time
 * @param latePerSecond the admitted requests that were not
 */
public record PriorityLoad(double utilisation, double begun, double onTimePerSecond, double latePerSecond) {

	/**
	 * Compares the demand for one priority with the capacity.
	 * @param load the demand of the fleet
	 * @param capacityPerSecond the rate of such requests that the fleet could serve if
	 * there were no others, above 0
	 * @return the load
	 */
	public static PriorityLoad of(ClassLoad load, double capacityPerSecond) {
		return new PriorityLoad(load.requestsPerSecond() / capacityPerSecond, load.begunPerSecond() / capacityPerSecond,
				load.onTimePerSecond(), load.latePerSecond());
	}

}
