package org.burdocktray.version.rules;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * One version of the routing rules. Invariant: the routes of a host are ordered from the
 * longest prefix to the shortest. Thread safety: immutable.
 */
public final class RoutingRules {

	private final long version;

	private final Map<String, List<RouteRule>> routesByHost;

	private final Map<String, ServiceRule> services;

	private final boolean requiresKeys;

	private final Map<String, OrganisationRule> organisationsByKey;

	private final CallerLimits limits;

	/**
	 * Creates a version.
	 * @param version the version number
	 * @param routes the routes
	 * @param services the services by name
	 * @param requiresKeys whether requests need a key unless their route is public
	 * @param organisationsByKey the organisations by API key
	 * @param limits the limits on callers
	 */
	public RoutingRules(long version, List<RouteRule> routes, Map<String, ServiceRule> services, boolean requiresKeys,
			Map<String, OrganisationRule> organisationsByKey, CallerLimits limits) {
		this.version = version;
		this.routesByHost = routes.stream()
			.sorted(Comparator.comparingInt((RouteRule route) -> route.pathPrefix().length()).reversed())
			.collect(Collectors.groupingBy(RouteRule::host));
		this.services = Map.copyOf(services);
		this.requiresKeys = requiresKeys;
		this.organisationsByKey = Map.copyOf(organisationsByKey);
		this.limits = limits;
	}

	/**
	 * Finds the matching route with the longest prefix.
	 * @param host the host of the request, without a port
	 * @param path the path without a query
	 * @return the route, empty if none matches
	 */
	public Optional<RouteRule> route(String host, String path) {
		return this.routesByHost.getOrDefault(host, List.of())
			.stream()
			.filter((route) -> path.startsWith(route.pathPrefix()))
			.findFirst();
	}

	/**
	 * Returns the routes of all hosts.
	 * @return the routes
	 */
	public List<RouteRule> routes() {
		return this.routesByHost.values().stream().flatMap(List::stream).toList();
	}

	/**
	 * Finds the organisation that owns an API key.
	 * @param key the API key
	 * @return the organisation, empty if the key is unknown
	 */
	public Optional<OrganisationRule> organisation(String key) {
		return Optional.ofNullable(this.organisationsByKey.get(key));
	}

	/**
	 * Returns whether requests need an API key unless their route is public.
	 * @return true if a key is required
	 */
	public boolean requiresKeys() {
		return this.requiresKeys;
	}

	/**
	 * Finds a service.
	 * @param name the name of the service
	 * @return the service, empty if there is none with this name
	 */
	public Optional<ServiceRule> service(String name) {
		return Optional.ofNullable(this.services.get(name));
	}

	/**
	 * Returns the services by name.
	 * @return the services
	 */
	public Map<String, ServiceRule> services() {
		return this.services;
	}

	/**
	 * Returns the organisations that have a key.
	 * @return each organisation at least once
	 */
	public Collection<OrganisationRule> organisations() {
		return this.organisationsByKey.values();
	}

	/**
	 * Returns the version number.
	 * @return the number, higher for newer rules
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns the limits on callers.
	 * @return the limits
	 */
	public CallerLimits limits() {
		return this.limits;
	}

}
