package org.burdocktray.process.overload;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.burdocktray.process.settings.GatewayOptions.Activation;
import org.burdocktray.version.rules.OrganisationRule;
import org.burdocktray.version.rules.RouteRule;
import org.burdocktray.version.rules.RoutingRules;

/**
 * The priorities that requests for each service can have by one version of the rules, and
 * the services for which load is shed by priority. Thread safety: immutable.
 */
public final class ServicePriorities {

	/** The feature applies to no service. */
	public static final ServicePriorities NONE = new ServicePriorities(Map.of());

	private static final int ORGANISATION_PRIORITY_FACTOR = 1_000;

	/** The priorities of the services that shed load, the most urgent first. */
	private final Map<String, List<Integer>> prioritiesByService;

	private ServicePriorities(Map<String, List<Integer>> prioritiesByService) {
		this.prioritiesByService = Map.copyOf(prioritiesByService);
	}

	/**
	 * Reads the priorities from rules.
	 * @param rules the rules
	 * @param activation {@link Activation#AUTO} for services with more than one priority
	 * @return the priorities of the services that shed load
	 */
	public static ServicePriorities of(RoutingRules rules, Activation activation) {
		Set<Integer> organisationPriorities = rules.organisations()
			.stream()
			.map(OrganisationRule::priority)
			.collect(Collectors.toSet());
		Map<String, TreeSet<Integer>> priorities = new HashMap<>();
		for (RouteRule route : rules.routes()) {
			boolean hasOrganisation = rules.requiresKeys() && !route.isPublic();
			Set<Integer> callers = hasOrganisation ? organisationPriorities : Set.of(0);
			route.targets()
				.stream()
				.filter((target) -> target.weight() > 0)
				.map((target) -> priorities.computeIfAbsent(target.service(), (service) -> new TreeSet<>()))
				.forEach((known) -> callers.forEach((caller) -> known.add(combine(caller, route.priority()))));
		}
		return new ServicePriorities(priorities.entrySet()
			.stream()
			.filter((entry) -> activation == Activation.ALWAYS || entry.getValue().size() > 1)
			.collect(Collectors.toMap(Map.Entry::getKey, (entry) -> List.copyOf(entry.getValue()))));
	}

	/**
	 * Returns the priority of requests of a route and organisation. That of the
	 * organisation takes precedence.
	 * @param route the route
	 * @param organisation the organisation, empty on public routes
	 * @return the priority; the lowest value is served first
	 */
	public static int priority(RouteRule route, Optional<OrganisationRule> organisation) {
		return combine(organisation.map(OrganisationRule::priority).orElse(0), route.priority());
	}

	private static int combine(int organisationPriority, int routePriority) {
		return organisationPriority * ORGANISATION_PRIORITY_FACTOR + routePriority;
	}

	/**
	 * Returns the services for which load is shed.
	 * @return their names
	 */
	public Set<String> services() {
		return this.prioritiesByService.keySet();
	}

	/**
	 * Returns how many priorities of a service are more urgent than one.
	 * @param service the service
	 * @param priority the priority
	 * @return the number, 0 for services to which the feature does not apply
	 */
	public int rank(String service, int priority) {
		List<Integer> known = this.prioritiesByService.getOrDefault(service, List.of());
		return (int) IntStream.range(0, known.size()).filter((index) -> known.get(index) < priority).count();
	}

	/**
	 * Returns the number of priorities of a service.
	 * @param service the service
	 * @return the number, at least 1
	 */
	public int count(String service) {
		return Math.max(1, this.prioritiesByService.getOrDefault(service, List.of()).size());
	}

}
