package org.burdocktray.request.route;

import java.util.List;
import java.util.Set;

import org.burdocktray.model.DataCentre;
import org.burdocktray.version.bundle.Engine;

/**
 * The requirements for a route. Thread safety: immutable.
 *
 * @param model the name of the model
 * @param localDataCentre the data centre of this VM
 * @param prefixFingerprint a digest of the prompt's prefix, for cache affinity; 0 if
 * there is none
 * @param excludedUpstreams the names of the upstreams that must not be used
 * @param keptStages engines of an earlier attempt that still hold the stream's state and
 * should be reused; empty for a first attempt
 */
public record RouteQuery(String model, DataCentre localDataCentre, long prefixFingerprint,
		Set<String> excludedUpstreams, List<Engine> keptStages) {

	public RouteQuery {
		excludedUpstreams = Set.copyOf(excludedUpstreams);
		keptStages = List.copyOf(keptStages);
	}

}
