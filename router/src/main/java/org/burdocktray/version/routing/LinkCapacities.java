package org.burdocktray.version.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.burdocktray.model.DataCentre;
import org.burdocktray.version.bundle.Link;

/**
 * The capacities of the links between and within data centres. Two data centres without a
 * link cannot exchange activations. The capacity within a data centre is unlimited unless
 * a link to itself is configured. Thread safety: immutable.
 */
public final class LinkCapacities {

	private final Map<DataCentre, Map<DataCentre, Link>> links = new HashMap<>();

	LinkCapacities(List<Link> links) {
		for (Link link : links) {
			this.links.computeIfAbsent(link.from(), (ignored) -> new HashMap<>()).put(link.to(), link);
		}
	}

	/**
	 * Returns whether activations can be sent from one data centre to another.
	 * @param from the data centre that sends
	 * @param to the data centre that receives
	 * @return true if there is a link with a capacity above 0
	 */
	public boolean exists(DataCentre from, DataCentre to) {
		return bytesPerSecond(from, to) > 0;
	}

	/**
	 * Returns the capacity of a link.
	 * @param from the data centre that sends
	 * @param to the data centre that receives
	 * @return bytes per second, {@link Long#MAX_VALUE} if the link is unlimited, 0 if it
	 * does not exist
	 */
	public long bytesPerSecond(DataCentre from, DataCentre to) {
		Link link = this.links.getOrDefault(from, Map.of()).get(to);
		if (link != null) {
			return link.bytesPerSecond();
		}
		return (from.equals(to)) ? Long.MAX_VALUE : 0;
	}

	boolean isUnlimited(DataCentre from, DataCentre to) {
		return bytesPerSecond(from, to) == Long.MAX_VALUE;
	}

}
