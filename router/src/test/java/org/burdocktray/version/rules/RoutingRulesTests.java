package org.burdocktray.version.rules;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RoutingRulesTests {

	@Test
	void findsTheRouteWithTheLongestPrefixOfTheHost() {
		RoutingRules rules = rules(1, route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"),
				route("other", "b.example", "/x/y/z/"));
		assertThat(rules.route("a.example", "/x/y/z/1")).map(RouteRule::name).contains("long");
		assertThat(rules.route("a.example", "/x/q")).map(RouteRule::name).contains("short");
	}

	@Test
	void findsNoRouteForAnotherHostOrPath() {
		RoutingRules rules = rules(1, route("r", "a.example", "/x/"));
		assertThat(rules.route("b.example", "/x/1")).isEmpty();
		assertThat(rules.route("a.example", "/xy/1")).isEmpty();
	}

	@Test
	void selectsServicesInProportionToWeight() {
		RouteRule route = new RouteRule("r", "h", "/", RequestKind.IDEMPOTENT, false, 1, 1, 0, 0, 2, false,
				List.of(new WeightedService("a", 90), new WeightedService("b", 10)));
		assertThat(route.pickService(0.899)).isEqualTo("a");
		assertThat(route.pickService(0.9)).isEqualTo("b");
		assertThat(route.pickService(0.999)).isEqualTo("b");
	}

	@Test
	void onlyIdempotentAndResumableRoutesAreRepeatable() {
		assertThat(route(RequestKind.IDEMPOTENT, false).isRepeatable()).isTrue();
		assertThat(route(RequestKind.NON_IDEMPOTENT, true).isRepeatable()).isFalse();
		assertThat(route(RequestKind.STREAMING, false).isRepeatable()).isFalse();
		assertThat(route(RequestKind.STREAMING, true).isRepeatable()).isTrue();
	}

	@Test
	void gateAcceptsOnlyNewerVersions() {
		RulesGate gate = new RulesGate();
		assertThat(gate.offer(rules(4))).isTrue();
		assertThat(gate.offer(rules(3))).isFalse();
		assertThat(gate.offer(rules(4))).isFalse();
		assertThat(gate.offer(rules(9))).isTrue();
		assertThat(gate.current()).map(RoutingRules::version).contains(9L);
	}

	private static RoutingRules rules(long version, RouteRule... routes) {
		return new RoutingRules(version, List.of(routes), Map.of(), false, Map.of(), new CallerLimits(1, 1, 1, 1));
	}

	private static RouteRule route(String name, String host, String prefix) {
		return new RouteRule(name, host, prefix, RequestKind.IDEMPOTENT, false, 1, 1, 0, 0, 2, false,
				List.of(new WeightedService("s", 1)));
	}

	private static RouteRule route(RequestKind kind, boolean resumable) {
		return new RouteRule("r", "h", "/", kind, resumable, 1, 1, 0, 0, 2, false,
				List.of(new WeightedService("s", 1)));
	}

}
