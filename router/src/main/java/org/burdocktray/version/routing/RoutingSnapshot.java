package org.burdocktray.version.routing;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.burdocktray.version.bundle.Bundle;
import org.burdocktray.version.bundle.Engine;
import org.burdocktray.version.bundle.Model;
import org.burdocktray.version.bundle.Service;

/**
 * The routing data of one bundle version. A request gets the current snapshot when it is
 * admitted and uses it until it ends. Thread safety: immutable.
 *
 * @param bundle the bundle in force
 * @param models the models by name
 * @param enginesByModel the engines by the name of their model, in the bundle's order
 * @param services the plain services by name
 * @param weights the routes through the engines with their weights
 */
public record RoutingSnapshot(Bundle bundle, Map<String, Model> models, Map<String, List<Engine>> enginesByModel,
		Map<String, Service> services, RouteWeights weights) {

	/**
	 * Computes the snapshot of a bundle.
	 * @param bundle a consistent bundle
	 * @return the snapshot
	 */
	public static RoutingSnapshot of(Bundle bundle) {
		return of(bundle, Set.of(), RouteWeights.empty());
	}

	/**
	 * Computes the snapshot for a changed bundle or changed upstreams in service. Engines
	 * out of service are listed but get no weight. Results of this snapshot whose inputs
	 * have not changed are reused.
	 * @param nextBundle a consistent bundle
	 * @param outOfService the names of upstreams that get no new requests
	 * @return the snapshot
	 */
	public RoutingSnapshot next(Bundle nextBundle, Set<String> outOfService) {
		return of(nextBundle, outOfService, this.weights);
	}

	private static RoutingSnapshot of(Bundle bundle, Set<String> outOfService, RouteWeights previousWeights) {
		Map<String, Model> models = bundle.models()
			.stream()
			.collect(Collectors.toUnmodifiableMap(Model::name, (model) -> model));
		Map<String, List<Engine>> engines = bundle.engines()
			.stream()
			.collect(Collectors.groupingBy(Engine::model, Collectors.toUnmodifiableList()));
		Map<String, Service> services = bundle.services()
			.stream()
			.collect(Collectors.toUnmodifiableMap(Service::name, (service) -> service));
		return new RoutingSnapshot(bundle, models, Map.copyOf(engines), services,
				previousWeights.next(bundle, outOfService));
	}

	/**
	 * Finds a model.
	 * @param name the model name in callers' requests
	 * @return the model, empty if the bundle contains none with this name
	 */
	public Optional<Model> model(String name) {
		return Optional.ofNullable(this.models.get(name));
	}

	/**
	 * Returns the engines that hold layers of a model.
	 * @param model the name of the model
	 * @return the engines, possibly none
	 */
	public List<Engine> engines(String model) {
		return this.enginesByModel.getOrDefault(model, List.of());
	}

	/**
	 * Finds the routes of a model.
	 * @param model the name of the model
	 * @return the routes, empty if the bundle does not contain the model
	 */
	public Optional<ModelRoutes> routes(String model) {
		return this.weights.routes(model);
	}

	/**
	 * Finds a plain service.
	 * @param name the service name in the path of callers' requests
	 * @return the service, empty if the bundle contains none with this name
	 */
	public Optional<Service> service(String name) {
		return Optional.ofNullable(this.services.get(name));
	}

	/**
	 * Returns the names of all upstreams: engines and replicas of services.
	 * @return the names
	 */
	public Set<String> upstreamNames() {
		Stream<String> engines = this.bundle.engines().stream().map(Engine::name);
		Stream<String> replicas = this.bundle.services()
			.stream()
			.flatMap((service) -> service.replicas().stream())
			.map(Service.Replica::name);
		return Stream.concat(engines, replicas).collect(Collectors.toUnmodifiableSet());
	}

}
