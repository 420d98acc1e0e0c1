package org.burdocktray.version.rules.check;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.burdocktray.version.rules.ServiceRule;
import org.burdocktray.version.rules.WeightedService;

/**
 * Checks one version of the rules. Thread safety: stateless.
 */
public final class RulesCheck {

	/** Bodies of the maximum size that a VM should be able to hold at the same time. */
	private static final int MIN_BODIES_IN_MEMORY = 16;

	/** Engines tell ten priorities apart. */
	private static final int MAX_PRIORITIES_OF_SERVICE = 10;

	private RulesCheck() {
	}

	/**
	 * Checks rules.
	 * @param document the rules
	 * @param bounds what the gateways can bear
	 * @return all findings in the order of the file
	 */
	public static List<RulesFinding> check(RulesDocument document, RulesBounds bounds) {
		List<RulesFinding> findings = new ArrayList<>(document.faults());
		findings.addAll(RouteCheck.check(document, bounds));
		findings.addAll(OrganisationCheck.check(document));
		checkServices(document, findings);
		checkLimits(document, bounds, findings);
		findings.sort(Comparator.comparingInt(RulesFinding::line));
		return findings;
	}

	private static void checkServices(RulesDocument document, List<RulesFinding> findings) {
		Set<String> used = document.routes()
			.stream()
			.flatMap((route) -> route.value().targets().stream())
			.filter((target) -> target.weight() > 0)
			.map(WeightedService::service)
			.collect(Collectors.toSet());
		Set<String> names = new HashSet<>();
		for (RulesDocument.Entry<ServiceRule> entry : document.services()) {
			String name = entry.value().name();
			RulesPlace place = document.place(entry, RulesField.NAME);
			if (!names.add(name)) {
				findings.add(RulesFinding.error(place, "service \"" + name + "\" is given twice, the last one holds"));
				continue;
			}
			if (!used.contains(name)) {
				findings.add(RulesFinding.warning(place, "no route leads to service \"" + name + "\""));
			}
			checkPriorities(document, entry, findings);
		}
	}

	private static void checkPriorities(RulesDocument document, RulesDocument.Entry<ServiceRule> entry,
			List<RulesFinding> findings) {
		long organisationPriorities = document.organisations()
			.stream()
			.map((organisation) -> organisation.value().priority())
			.distinct()
			.count();
		long routePriorities = document.routes()
			.stream()
			.filter((route) -> route.value()
				.targets()
				.stream()
				.anyMatch((target) -> target.service().equals(entry.value().name())))
			.map((route) -> route.value().priority())
			.distinct()
			.count();
		long priorities = Math.max(1, organisationPriorities) * routePriorities;
		if (priorities > MAX_PRIORITIES_OF_SERVICE) {
			findings.add(RulesFinding.warning(document.place(entry, RulesField.NAME),
					"service \"" + entry.value().name() + "\" has " + priorities + " priorities, at most "
							+ MAX_PRIORITIES_OF_SERVICE
							+ " are told apart; the least urgent ones get no capacity of their own under load"));
		}
	}

	private static void checkLimits(RulesDocument document, RulesBounds bounds, List<RulesFinding> findings) {
		Optional<Long> maxBodyBytes = document.limits().map((limits) -> limits.maxBodyBytes());
		maxBodyBytes.filter((bytes) -> bytes > bounds.memoryBytes() / MIN_BODIES_IN_MEMORY)
			.ifPresent((bytes) -> findings
				.add(RulesFinding.warning(document.places().find(document.limitsPath(), RulesField.MAX_BODY_BYTES),
						"a VM with " + bounds.memoryBytes() + " bytes of memory cannot hold " + MIN_BODIES_IN_MEMORY
								+ " bodies of " + bytes + " bytes")));
		if (document.version() < 1 && document.faults().isEmpty()) {
			findings.add(RulesFinding.error(document.places().find("", RulesField.VERSION),
					"version must be at least 1, was " + document.version()));
		}
	}

}
