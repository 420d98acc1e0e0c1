package org.burdocktray.version.rules.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks the organisations of one version of the rules. Keys are never named. Thread
 * safety: stateless.
 */
final class OrganisationCheck {

	private OrganisationCheck() {
	}

	static List<RulesFinding> check(RulesDocument document) {
		List<RulesFinding> findings = new ArrayList<>();
		Map<String, String> ownersByKey = new HashMap<>();
		Set<String> names = new HashSet<>();
		for (RulesDocument.Entry<OrganisationEntry> entry : document.organisations()) {
			OrganisationEntry organisation = entry.value();
			if (!names.add(organisation.name())) {
				findings.add(RulesFinding.warning(document.place(entry, RulesField.NAME),
						"organisation \"" + organisation.name() + "\" is given twice"));
			}
			if (organisation.priority() < 0) {
				findings.add(RulesFinding.error(document.place(entry, RulesField.PRIORITY),
						"priority must be at least 0, was " + organisation.priority()));
			}
			checkKeys(document, entry, ownersByKey, findings);
		}
		checkReachability(document, ownersByKey.isEmpty(), findings);
		return findings;
	}

	private static void checkKeys(RulesDocument document, RulesDocument.Entry<OrganisationEntry> entry,
			Map<String, String> ownersByKey, List<RulesFinding> findings) {
		OrganisationEntry organisation = entry.value();
		RulesPlace place = document.place(entry, RulesField.KEYS);
		if (organisation.keyDigests().isEmpty()) {
			findings.add(RulesFinding.warning(place, "organisation \"" + organisation.name() + "\" has no key"));
		}
		Set<String> own = new HashSet<>();
		for (int index = 0; index < organisation.keyDigests().size(); index++) {
			String digest = organisation.keyDigests().get(index);
			if (!own.add(digest)) {
				findings.add(RulesFinding.warning(place, "key number " + (index + 1) + " of organisation \""
						+ organisation.name() + "\" is given twice"));
				continue;
			}
			String earlierOwner = ownersByKey.put(digest, organisation.name());
			if (earlierOwner != null) {
				findings.add(RulesFinding.error(place,
						"key number " + (index + 1) + " of organisation \"" + organisation.name()
								+ "\" belongs to organisation \"" + earlierOwner + "\" as well, the last one gets it"));
			}
		}
	}

	private static void checkReachability(RulesDocument document, boolean isWithoutKeys, List<RulesFinding> findings) {
		boolean hasKeyedRoute = document.routes().stream().anyMatch((route) -> !route.value().isPublic());
		if (document.requiresKeys() && isWithoutKeys && hasKeyedRoute) {
			findings.add(RulesFinding.warning(RulesPlace.WHOLE_FILE,
					"no organisation has a key, so only public routes can be used"));
		}
	}

}
