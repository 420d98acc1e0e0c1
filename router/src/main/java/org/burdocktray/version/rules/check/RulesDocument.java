package org.burdocktray.version.rules.check;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

import org.burdocktray.version.rules.CallerLimits;
import org.burdocktray.version.rules.RouteRule;
import org.burdocktray.version.rules.RoutingRules;
import org.burdocktray.version.rules.ServiceRule;

/**
 * The rules of a file in its order, with the places of their parts, and the faults of the
 * parts that cannot be read. Thread safety: immutable.
 *
 * @param version the version of the rules, 0 if it cannot be read
 * @param routes the routes
 * @param services the services
 * @param organisations the organisations
 * @param requiresKeys whether requests need a key unless their route is public
 * @param limits the limits on callers, empty if they cannot be read
 * @param limitsPath the path of the limits in the file
 * @param faults the faults of parts that cannot be read
 * @param places finds the places of fields
 */
public record RulesDocument(long version, List<Entry<RouteRule>> routes, List<Entry<ServiceRule>> services,
		List<Entry<OrganisationEntry>> organisations, boolean requiresKeys, Optional<CallerLimits> limits,
		String limitsPath, List<RulesFinding> faults, Places places) {

	private static final CallerLimits NO_LIMITS = new CallerLimits(0, 0, 0, 0);

	public RulesDocument {
		routes = List.copyOf(routes);
		services = List.copyOf(services);
		organisations = List.copyOf(organisations);
		faults = List.copyOf(faults);
	}

	RulesPlace place(Entry<?> entry, RulesField field) {
		return this.places.find(entry.path(), field);
	}

	/**
	 * Returns the rules by which gateways find the route of a request.
	 * @return rules without organisations
	 */
	RoutingRules toRoutingRules() {
		Map<String, ServiceRule> servicesByName = values(this.services).stream()
			.collect(Collectors.toMap(ServiceRule::name, (service) -> service, (first, second) -> second));
		return new RoutingRules(this.version, values(this.routes), servicesByName, this.requiresKeys, Map.of(),
				this.limits.orElse(NO_LIMITS));
	}

	static <T> List<T> values(Collection<Entry<T>> entries) {
		return entries.stream().map(Entry::value).toList();
	}

	/**
	 * A part of the rules with its path in the file. Thread safety: immutable.
	 *
	 * @param <T> the type of the part
	 * @param path the path
	 * @param value the part
	 */
	public record Entry<T>(String path, T value) {

	}

	/**
	 * Finds the places of fields.
	 */
	@FunctionalInterface
	public interface Places {

		/**
		 * Finds the place of a field.
		 * @param entryPath the path of the part that contains the field
		 * @param field the field
		 * @return its place, that of the part if the file does not contain the field
		 */
		RulesPlace find(String entryPath, RulesField field);

	}

	/**
	 * Reads files of rules.
	 */
	@FunctionalInterface
	public interface Reader {

		/**
		 * Reads rules as far as they can be read.
		 * @param text the content of the file
		 * @return the rules and the faults of the rest
		 */
		RulesDocument read(String text);

	}

}
