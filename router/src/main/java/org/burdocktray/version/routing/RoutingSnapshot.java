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
 * What a request needs to know of one bundle version. A request takes one snapshot when
 * it is admitted and uses it to its end. Thread safety: immutable.
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
	 * Works out the snapshot of a bundle.
	 * @param bundle a consistent bundle
	 * @return the snapshot
	 */
	public static RoutingSnapshot of(Bundle bundle) {
		return of(bundle, Set.of(), RouteWeights.empty());
	}

	/**
	 * Works out the snapshot that follows this one, when the bundle or the upstreams in
	 * service have changed. Engines out of service don't count in the weights; they are
	 * still listed. What has not changed is not worked out again.
	 * @param nextBundle a consistent bundle
	 * @param outOfService names of upstreams that get no new work
	 * @return the snapshot
	 */
	public RoutingSnapshot next(Bundle nextBundle, Set<String> outOfService) {
		return of(nextBundle, outOfService, this.weights);
	}

	private static RoutingSnapshot of(Bundle bundle, Set<String> outOfService, RouteWeights before) {
		Map<String, Model> models = bundle.models()
			.stream()
			.collect(Collectors.toUnmodifiableMap(Model::name, (model) -> model));
		Map<String, List<Engine>> engines = bundle.engines()
			.stream()
			.collect(Collectors.groupingBy(Engine::model, Collectors.toUnmodifiableList()));
		Map<String, Service> services = bundle.services()
			.stream()
			.collect(Collectors.toUnmodifiableMap(Service::name, (service) -> service));
		return new RoutingSnapshot(bundle, models, Map.copyOf(engines), services, before.next(bundle, outOfService));
	}

	/**
	 * Finds a model.
	 * @param name the name callers use
	 * @return the model, empty when the bundle has none of this name
	 */
	public Optional<Model> model(String name) {
		return Optional.ofNullable(this.models.get(name));
	}

	/**
	 * Lists the engines that hold layers of a model.
	 * @param model the name of the model
	 * @return the engines, possibly none
	 */
	public List<Engine> engines(String model) {
		return this.enginesByModel.getOrDefault(model, List.of());
	}

	/**
	 * Finds the routes of a model.
	 * @param model the name of the model
	 * @return the routes, empty when the bundle has no such model
	 */
	public Optional<ModelRoutes> routes(String model) {
		return this.weights.routes(model);
	}

	/**
	 * Finds a plain service.
	 * @param name the name in the callers' path
	 * @return the service, empty when the bundle has none of this name
	 */
	public Optional<Service> service(String name) {
		return Optional.ofNullable(this.services.get(name));
	}

	/**
	 * Lists all upstreams, engines and replicas of services.
	 * @return their names
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
