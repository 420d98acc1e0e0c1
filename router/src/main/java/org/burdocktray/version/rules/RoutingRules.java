package org.burdocktray.version.rules;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * One version of the rules. Invariant: the routes of a host are ordered from the longest
 * prefix to the shortest. Thread safety: immutable.
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
	 * @param version its number
	 * @param routes the routes
	 * @param services the services by name
	 * @param asksForKeys whether requests need a key unless their route is public
	 * @param organisationsByKey who holds which key
	 * @param limits what a caller may send
	 */
	public RoutingRules(long version, List<RouteRule> routes, Map<String, ServiceRule> services, boolean asksForKeys,
			Map<String, OrganisationRule> organisationsByKey, CallerLimits limits) {
		this.version = version;
		this.routesByHost = routes.stream()
			.sorted(Comparator.comparingInt((RouteRule route) -> route.pathPrefix().length()).reversed())
			.collect(Collectors.groupingBy(RouteRule::host));
		this.services = Map.copyOf(services);
		this.requiresKeys = asksForKeys;
		this.organisationsByKey = Map.copyOf(organisationsByKey);
		this.limits = limits;
	}

	/**
	 * Finds the route with the longest prefix.
	 * @param host the host of the request, without a port
	 * @param path the path without a query
	 * @return the route, or empty when none matches
	 */
	public Optional<RouteRule> route(String host, String path) {
		return this.routesByHost.getOrDefault(host, List.of())
			.stream()
			.filter((route) -> path.startsWith(route.pathPrefix()))
			.findFirst();
	}

	/**
	 * Finds the organisation that holds a key.
	 * @param key the key
	 * @return the organisation, or empty when none holds it
	 */
	public Optional<OrganisationRule> organisation(String key) {
		return Optional.ofNullable(this.organisationsByKey.get(key));
	}

	/**
	 * Tells whether requests need a key unless their route is public.
	 * @return whether it asks for keys
	 */
	public boolean requiresKeys() {
		return this.requiresKeys;
	}

	/**
	 * Returns a service.
	 * @param name its name
	 * @return the service, or empty when there is none
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
	 * Returns the number of the version.
	 * @return the number
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns what a caller may send.
	 * @return the limits
	 */
	public CallerLimits limits() {
		return this.limits;
	}

}
