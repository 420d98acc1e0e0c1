package org.burdocktray.process.load;

import java.util.HashSet;
import java.util.Set;

/**
 * A view that combines the load, health and leaving marks of the upstreams. Thread
 * safety: readers never block.
 */
public final class UpstreamView implements LoadView {

	private final UpstreamLoads loads;

	private final UpstreamDrain drain;

	/**
	 * Creates a view.
	 * @param loads the load and health of the upstreams
	 * @param drain the leaving marks of the upstreams
	 */
	public UpstreamView(UpstreamLoads loads, UpstreamDrain drain) {
		this.loads = loads;
		this.drain = drain;
	}

	@Override
	public UpstreamStatus status(String upstreamName) {
		UpstreamStatus status = this.loads.status(upstreamName);
		if (!this.drain.isLeaving(upstreamName)) {
			return status;
		}
		return new UpstreamStatus(status.ownInFlight(), status.reportedInFlight(), status.reportAgeNanos(),
				UpstreamStatus.Availability.LEAVING, status.inServiceNanos());
	}

	/**
	 * Returns the upstreams that receive no new work.
	 * @return the names of those that are leaving or ejected
	 */
	public Set<String> outOfService() {
		Set<String> names = new HashSet<>(this.loads.outOfService());
		names.addAll(this.drain.leavingUpstreams());
		return Set.copyOf(names);
	}

}
