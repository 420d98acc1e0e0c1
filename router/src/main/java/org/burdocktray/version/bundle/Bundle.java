package org.burdocktray.version.bundle;

import java.util.List;

/**
 * The content of a configuration bundle. Invariant: a bundle returned by
 * {@link BundleReader} is consistent: names are unique and all references resolve. Thread
 * safety: immutable.
 *
 * @param version the version of the content, at least 1; one more than the version that
 * it replaces
 * @param models the models available to callers
 * @param engines the engine replicas, each holding a range of layers
 * @param links the links between data centres. Activations can't be sent between two data
 * centres without a link; within a data centre a missing link means unlimited bandwidth
 * @param services the plain services
 * @param organisations the organisations that may send requests
 * @param operators the operators who may propose and approve bundles
 * @param objectives the service-level objectives for the burn report
 * @param limits the limits on requests
 */
public record Bundle(long version, List<Model> models, List<Engine> engines, List<Link> links, List<Service> services,
		List<Organisation> organisations, List<Operator> operators, List<Objective> objectives, Limits limits) {

	public Bundle {
		models = List.copyOf(models);
		engines = List.copyOf(engines);
		links = List.copyOf(links);
		services = List.copyOf(services);
		organisations = List.copyOf(organisations);
		operators = List.copyOf(operators);
		objectives = List.copyOf(objectives);
	}

}
