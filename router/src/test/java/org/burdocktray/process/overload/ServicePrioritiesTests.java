package org.burdocktray.process.overload;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.burdocktray.process.settings.GatewayOptions.Activation;
import org.burdocktray.version.rules.CallerLimits;
import org.burdocktray.version.rules.OrganisationRule;
import org.burdocktray.version.rules.RequestKind;
import org.burdocktray.version.rules.RouteRule;
import org.burdocktray.version.rules.RoutingRules;
import org.burdocktray.version.rules.WeightedService;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a feature in force where it is not wanted.
 */
class ServicePrioritiesTests {

	@Test
	void servicesWithOnePriorityShedNoLoad() {
		assertThat(priorities(Activation.AUTO, List.of(0), 0, 0).services()).isEmpty();
		assertThat(priorities(Activation.ALWAYS, List.of(0), 0, 0).services()).containsExactly("s");
	}

	@Test
	void routesOrOrganisationsOfDifferentPriorityActivateTheFeature() {
		assertThat(priorities(Activation.AUTO, List.of(0), 0, 2).services()).containsExactly("s");
		ServicePriorities byOrganisation = priorities(Activation.AUTO, List.of(0, 1), 3);
		assertThat(byOrganisation.services()).containsExactly("s");
		assertThat(byOrganisation.rank("s", 3)).isZero();
		assertThat(byOrganisation.rank("s", 1_003)).isEqualTo(1);
		assertThat(byOrganisation.count("s")).isEqualTo(2);
	}

	private static ServicePriorities priorities(Activation activation, List<Integer> organisations, int... routes) {
		List<RouteRule> rules = IntStream.range(0, routes.length)
			.mapToObj((index) -> new RouteRule("r" + index, "h", "/" + index + "/", RequestKind.STREAMING, true, 20_000,
					500, 250, routes[index], 2, false, List.of(new WeightedService("s", 1))))
			.toList();
		Map<String, OrganisationRule> byKey = organisations.stream()
			.collect(Collectors.toMap((priority) -> "k" + priority,
					(priority) -> new OrganisationRule("o" + priority, priority)));
		return ServicePriorities.of(
				new RoutingRules(1, rules, Map.of(), true, byKey, new CallerLimits(8_192, 1_000, 1_000, 1_000)),
				activation);
	}

}
