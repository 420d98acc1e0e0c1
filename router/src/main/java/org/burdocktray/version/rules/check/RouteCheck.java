package org.burdocktray.version.rules.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.burdocktray.version.rules.RouteRule;
import org.burdocktray.version.rules.WeightedService;

/**
 * Checks the routes of one version of the rules. Thread safety: none, used for one check.
 */
final class RouteCheck {

	/** A request is sent at most this often, whatever its route allows. */
	private static final int MAX_SENDS = 4;

	/** The share of requests that should be able to use all their attempts. */
	private static final double MIN_RETRIED_SHARE = 0.1;

	/** Priorities of organisations are multiples of this. */
	private static final int MAX_PRIORITY = 999;

	private final RulesDocument document;

	private final RulesBounds bounds;

	private final Set<String> serviceNames;

	private final List<RulesFinding> findings = new ArrayList<>();

	private final Map<String, String> routesByPrefix = new HashMap<>();

	private final Set<String> names = new HashSet<>();

	private RouteCheck(RulesDocument document, RulesBounds bounds) {
		this.document = document;
		this.bounds = bounds;
		this.serviceNames = document.services()
			.stream()
			.map((service) -> service.value().name())
			.collect(Collectors.toSet());
	}

	static List<RulesFinding> check(RulesDocument document, RulesBounds bounds) {
		RouteCheck check = new RouteCheck(document, bounds);
		document.routes().forEach((entry) -> {
			check.checkMatch(entry);
			check.checkTargets(entry);
			check.checkTimes(entry);
			check.checkAttempts(entry);
			check.checkPriority(entry);
		});
		return check.findings;
	}

	private void checkMatch(RulesDocument.Entry<RouteRule> entry) {
		RouteRule route = entry.value();
		if (!this.names.add(route.name())) {
			warn(entry, RulesField.NAME, "another route is named \"" + route.name() + "\" as well");
		}
		String hiding = this.routesByPrefix.putIfAbsent(route.host() + " " + route.pathPrefix(), route.name());
		if (hiding != null) {
			fail(entry, RulesField.PATH_PREFIX, "route \"" + route.name() + "\" never matches, route \"" + hiding
					+ "\" before it has the same host and prefix");
		}
		if (!route.pathPrefix().startsWith("/")) {
			fail(entry, RulesField.PATH_PREFIX,
					"route \"" + route.name() + "\" never matches, its prefix does not begin with a slash");
		}
		else if (!route.pathPrefix().endsWith("/")) {
			warn(entry, RulesField.PATH_PREFIX,
					"prefix \"" + route.pathPrefix() + "\" does not end with a slash, so it also matches longer names");
		}
		if (route.host().isEmpty() || route.host().contains(":") || route.host().contains("/")) {
			fail(entry, RulesField.HOST, "route \"" + route.name() + "\" never matches, \"" + route.host()
					+ "\" is no host name without a port");
		}
	}

	private void checkTargets(RulesDocument.Entry<RouteRule> entry) {
		RouteRule route = entry.value();
		if (route.targets().stream().mapToInt(WeightedService::weight).sum() <= 0) {
			fail(entry, RulesField.TARGETS, "no service of route \"" + route.name()
					+ "\" has a weight above 0, so the last one gets all requests");
		}
		for (WeightedService target : route.targets()) {
			if (!this.serviceNames.contains(target.service())) {
				fail(entry, RulesField.TARGETS, "route \"" + route.name() + "\" leads to service \"" + target.service()
						+ "\", which does not exist: requests get status 503");
			}
			if (target.weight() < 0) {
				fail(entry, RulesField.TARGETS, "weight of service \"" + target.service() + "\" is below 0");
			}
			else if (target.weight() == 0) {
				warn(entry, RulesField.TARGETS,
						"service \"" + target.service() + "\" has weight 0 and gets no request");
			}
		}
	}

	private void checkTimes(RulesDocument.Entry<RouteRule> entry) {
		RouteRule route = entry.value();
		if (route.timeoutMillis() < 1) {
			fail(entry, RulesField.TIMEOUT, "timeout must be at least 1 ms, was " + route.timeoutMillis());
			return;
		}
		if (route.timeoutMillis() < route.targetLatencyMillis()) {
			warn(entry, RulesField.TIMEOUT, "timeout of " + route.timeoutMillis() + " ms is under the target of "
					+ route.targetLatencyMillis() + " ms");
		}
		if (route.targetEventGapMillis() > route.timeoutMillis()) {
			warn(entry, RulesField.TARGET_EVENT_GAP, "target of " + route.targetEventGapMillis()
					+ " ms between events is over the timeout of " + route.timeoutMillis() + " ms");
		}
		if (route.targetLatencyMillis() < 1) {
			fail(entry, RulesField.TARGET_LATENCY, "target must be at least 1 ms, was " + route.targetLatencyMillis());
		}
	}

	private void checkAttempts(RulesDocument.Entry<RouteRule> entry) {
		int attempts = entry.value().maxAttempts();
		if (attempts < 1) {
			fail(entry, RulesField.MAX_ATTEMPTS, "attempts must be at least 1, were " + attempts);
		}
		else if (attempts > MAX_SENDS) {
			warn(entry, RulesField.MAX_ATTEMPTS,
					attempts + " attempts have no effect, a request is sent " + MAX_SENDS + " times at most");
		}
		else if ((attempts - 1) * MIN_RETRIED_SHARE > this.bounds.retryRatio()) {
			warn(entry, RulesField.MAX_ATTEMPTS, attempts + " attempts are more than the retry budget of "
					+ this.bounds.retryRatio() + " per request bears for one request in ten");
		}
	}

	private void checkPriority(RulesDocument.Entry<RouteRule> entry) {
		int priority = entry.value().priority();
		if (priority < 0 || priority > MAX_PRIORITY) {
			fail(entry, RulesField.PRIORITY, "priority must be 0 to " + MAX_PRIORITY + ", was " + priority
					+ "; beyond, it outweighs the priority of organisations");
		}
	}

	private void fail(RulesDocument.Entry<RouteRule> entry, RulesField field, String message) {
		this.findings.add(RulesFinding.error(this.document.place(entry, field), message));
	}

	private void warn(RulesDocument.Entry<RouteRule> entry, RulesField field, String message) {
		this.findings.add(RulesFinding.warning(this.document.place(entry, field), message));
	}

}
