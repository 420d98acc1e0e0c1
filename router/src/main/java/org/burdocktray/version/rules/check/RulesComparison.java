package org.burdocktray.version.rules.check;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.burdocktray.version.rules.RouteRule;
import org.burdocktray.version.rules.RoutingRules;
import org.burdocktray.version.rules.ServiceRule;
import org.burdocktray.version.rules.WeightedService;

/**
 * Compares two versions of the rules by route, service and organisation. Thread safety:
 * none, used for one comparison.
 */
public final class RulesComparison {

	private final RulesDocument before;

	private final RulesDocument after;

	private final RoutingRules rulesBefore;

	private final RoutingRules rulesAfter;

	private final List<RulesDifference> differences = new ArrayList<>();

	private RulesComparison(RulesDocument before, RulesDocument after) {
		this.before = before;
		this.after = after;
		this.rulesBefore = before.toRoutingRules();
		this.rulesAfter = after.toRoutingRules();
	}

	/**
	 * Compares two versions.
	 * @param before the version in force
	 * @param after the version to be written
	 * @return the differences
	 */
	public static List<RulesDifference> compare(RulesDocument before, RulesDocument after) {
		RulesComparison comparison = new RulesComparison(before, after);
		comparison.compareRoutes();
		comparison.compareServices();
		comparison.compareOrganisations();
		return comparison.differences;
	}

	/**
	 * Checks whether gateways take one version after another, and whether the two can be
	 * compared.
	 * @param before the version in force
	 * @param after the version to be written
	 * @return warnings
	 */
	public static List<RulesFinding> check(RulesDocument before, RulesDocument after) {
		List<RulesFinding> findings = new ArrayList<>();
		if (!before.faults().isEmpty()) {
			findings.add(RulesFinding.warning(RulesPlace.WHOLE_FILE,
					"the other file has " + before.faults().size() + " faults, so the differences are incomplete"));
		}
		if (after.version() <= before.version()) {
			findings.add(RulesFinding.warning(after.places().find("", RulesField.VERSION), "version " + after.version()
					+ " is not above " + before.version() + ", so gateways keep the rules in force"));
		}
		return findings;
	}

	private void compareRoutes() {
		Map<String, RouteRule> old = byName(this.before.routes(), RouteRule::name);
		Map<String, RouteRule> present = byName(this.after.routes(), RouteRule::name);
		for (String name : union(old.keySet(), present.keySet())) {
			RouteRule from = old.get(name);
			RouteRule to = present.get(name);
			if (from == null) {
				add("route", name, "added for " + to.host() + to.pathPrefix(), describeMoveTo(to));
			}
			else if (to == null) {
				add("route", name, "removed", describeMoveFrom(from));
			}
			else if (!from.equals(to)) {
				add("route", name, describeChanges(from, to), describeEffect(from, to));
			}
		}
	}

	// What becomes of the requests that a route has matched so far.
	private String describeMoveFrom(RouteRule from) {
		Optional<RouteRule> next = this.rulesAfter.route(from.host(), from.pathPrefix());
		if (next.isEmpty()) {
			return "requests of " + from.host() + from.pathPrefix() + " get status 404";
		}
		return describeMove(from, from, next.get());
	}

	// What the requests that a new route matches have matched so far.
	private String describeMoveTo(RouteRule to) {
		return this.rulesBefore.route(to.host(), to.pathPrefix())
			.map((former) -> describeMove(to, former, to))
			.orElse("");
	}

	private static String describeMove(RouteRule place, RouteRule from, RouteRule to) {
		return formatTargets(from).equals(formatTargets(to)) ? "" : "requests of " + place.host() + place.pathPrefix()
				+ " move from " + formatTargets(from) + " to " + formatTargets(to);
	}

	private String describeEffect(RouteRule from, RouteRule to) {
		List<String> effects = new ArrayList<>();
		String move = describeMoveFrom(from);
		if (!move.isEmpty()) {
			effects.add(move);
		}
		if (!from.isRepeatable() && to.isRepeatable()) {
			effects.add("requests may run more than once");
		}
		if (from.isPublic() && !to.isPublic()) {
			effects.add("requests without a key get status 401");
		}
		return String.join("; ", effects);
	}

	private static String describeChanges(RouteRule from, RouteRule to) {
		Changes changes = new Changes();
		changes.add("host", from.host(), to.host());
		changes.add("prefix", from.pathPrefix(), to.pathPrefix());
		changes.add("kind", from.kind(), to.kind());
		changes.add("resumable", from.resumable(), to.resumable());
		changes.add("timeout in ms", from.timeoutMillis(), to.timeoutMillis());
		changes.add("target in ms", from.targetLatencyMillis(), to.targetLatencyMillis());
		changes.add("target between events in ms", from.targetEventGapMillis(), to.targetEventGapMillis());
		changes.add("priority", from.priority(), to.priority());
		changes.add("attempts", from.maxAttempts(), to.maxAttempts());
		changes.add("public", from.isPublic(), to.isPublic());
		changes.add("services", formatTargets(from), formatTargets(to));
		return changes.toString();
	}

	private static String formatTargets(RouteRule route) {
		return route.targets()
			.stream()
			.map((WeightedService target) -> target.service() + "=" + target.weight())
			.collect(Collectors.joining(","));
	}

	private void compareServices() {
		Map<String, ServiceRule> old = byName(this.before.services(), ServiceRule::name);
		Map<String, ServiceRule> present = byName(this.after.services(), ServiceRule::name);
		for (String name : union(old.keySet(), present.keySet())) {
			ServiceRule from = old.get(name);
			ServiceRule to = present.get(name);
			if (from == null) {
				add("service", name, "added", "");
			}
			else if (to == null) {
				add("service", name, "removed", "");
			}
			else if (!from.equals(to)) {
				Changes changes = new Changes();
				changes.add("health path", from.healthPath(), to.healthPath());
				changes.add("connections", from.maxConnections(), to.maxConnections());
				boolean differs = !from.engine().equals(to.engine());
				add("service", name, changes.toString(), differs ? "profile of engines changed, layers may move" : "");
			}
		}
	}

	private void compareOrganisations() {
		Map<String, OrganisationEntry> old = organisations(this.before);
		Map<String, OrganisationEntry> present = organisations(this.after);
		Map<String, String> ownersAfter = owners(this.after);
		for (String name : union(old.keySet(), present.keySet())) {
			OrganisationEntry from = old.getOrDefault(name, new OrganisationEntry(name, 0, List.of()));
			OrganisationEntry to = present.getOrDefault(name, new OrganisationEntry(name, from.priority(), List.of()));
			Changes changes = new Changes();
			if (!old.containsKey(name)) {
				changes.add("added");
			}
			else if (!present.containsKey(name)) {
				changes.add("removed");
			}
			else {
				changes.add("priority", from.priority(), to.priority());
			}
			Set<String> added = new HashSet<>(to.keyDigests());
			from.keyDigests().forEach(added::remove);
			if (!added.isEmpty()) {
				changes.add(added.size() + " keys added");
			}
			Set<String> gone = new HashSet<>(from.keyDigests());
			to.keyDigests().forEach(gone::remove);
			long withdrawn = gone.stream().filter((digest) -> !ownersAfter.containsKey(digest)).count();
			if (withdrawn < gone.size()) {
				changes.add((gone.size() - withdrawn) + " keys moved to other organisations");
			}
			if (withdrawn > 0) {
				changes.add(withdrawn + " keys withdrawn");
			}
			if (!changes.isEmpty()) {
				add("organisation", name, changes.toString(),
						(withdrawn > 0) ? "callers with withdrawn keys get status 401" : "");
			}
		}
	}

	private static Map<String, OrganisationEntry> organisations(RulesDocument document) {
		Map<String, OrganisationEntry> organisations = new LinkedHashMap<>();
		RulesDocument.values(document.organisations())
			.forEach((organisation) -> organisations.merge(organisation.name(), organisation,
					RulesComparison::mergeKeys));
		return organisations;
	}

	private static OrganisationEntry mergeKeys(OrganisationEntry first, OrganisationEntry second) {
		List<String> digests = new ArrayList<>(first.keyDigests());
		digests.addAll(second.keyDigests());
		return new OrganisationEntry(second.name(), second.priority(), digests);
	}

	private static Map<String, String> owners(RulesDocument document) {
		Map<String, String> owners = new HashMap<>();
		RulesDocument.values(document.organisations())
			.forEach((organisation) -> organisation.keyDigests()
				.forEach((digest) -> owners.put(digest, organisation.name())));
		return owners;
	}

	private static <T> Map<String, T> byName(Collection<RulesDocument.Entry<T>> entries, Function<T, String> name) {
		Map<String, T> byName = new LinkedHashMap<>();
		RulesDocument.values(entries).forEach((value) -> byName.put(name.apply(value), value));
		return byName;
	}

	private static Set<String> union(Set<String> first, Set<String> second) {
		Set<String> all = new LinkedHashSet<>(first);
		all.addAll(second);
		return all;
	}

	private void add(String subject, String name, String change, String effect) {
		this.differences.add(new RulesDifference(subject, name, change, effect));
	}

	private static final class Changes {

		private final List<String> changes = new ArrayList<>();

		private void add(String field, Object from, Object to) {
			if (!Objects.equals(from, to)) {
				add(field + " " + from + " -> " + to);
			}
		}

		private void add(String change) {
			this.changes.add(change);
		}

		private boolean isEmpty() {
			return this.changes.isEmpty();
		}

		@Override
		public String toString() {
			return this.changes.isEmpty() ? "changed" : String.join(", ", this.changes);
		}

	}

}
