package org.burdocktray.process.balance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.process.demand.ClassLoad;
import org.burdocktray.process.demand.DataCentreDemand;
import org.burdocktray.process.demand.DemandClass;
import org.burdocktray.process.demand.DemandReport;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.process.settings.GatewayOptions.Activation;
import org.burdocktray.process.settings.GatewayOptions.BalancingOptions;
import org.burdocktray.version.rules.RoutingRules;
import org.burdocktray.version.rules.ServiceRule;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PlainRoutesTests {

	private static final DataCentre GHENT = new DataCentre("ghent");

	private static final RoutingRules RULES = new RoutingRules(1, List.of(),
			Map.of("p", new ServiceRule("p", "/", 100, Optional.empty())), false, Map.of(), null);

	private static final List<Replica> REPLICAS = List.of(replica("a", "ghent"), replica("b", "leuven"),
			replica("c", "mons"));

	private final ReplicaTimes times = new ReplicaTimes();

	private long nowNanos = TimeUnit.SECONDS.toNanos(1);

	/** Guards against bytes between data centres while the local replica has room. */
	@Test
	void staysLocalWhileThereIsRoom() {
		assertThat(shares(10, REPLICAS)).isEqualTo(Map.of("a", 1.0));
	}

	/**
	 * Guards against a data centre at twice its capacity that queues calls at its
	 * replica: six slots of 100 ms bear 60 calls a second.
	 */
	@Test
	void sendsOverflowToOtherReplicas() {
		Map<String, Double> shares = shares(120, REPLICAS);
		assertThat(120 * shares.get("a")).isLessThan(60);
		assertThat(shares.get("b")).isBetween(0.8 * shares.get("c"), 1.25 * shares.get("c"));
	}

	/** Guards against calls that wait at a slow replica or are failed by a sick one. */
	@Test
	void slowOrFailingReplicaLosesShare() {
		List<Replica> local = List.of(replica("a", "ghent"), replica("slow", "ghent"), replica("sick", "ghent"));
		for (int call = 0; call < 10; call++) {
			this.times.record(local.get(0), 100, false, this.nowNanos);
			this.times.record(local.get(1), 300, false, this.nowNanos);
			this.times.record(local.get(2), 5, call % 2 == 0, this.nowNanos);
		}
		Map<String, Double> shares = shares(10, local);
		assertThat(shares.get("slow")).isLessThan(0.5 * shares.get("a"));
		assertThat(this.times.successShare(local.get(2), this.nowNanos)).isLessThan(0.7);
		this.nowNanos += TimeUnit.MINUTES.toNanos(1);
		assertThat(this.times.expectedMillis(local.get(1), this.nowNanos))
			.isLessThan(1.2 * this.times.expectedMillis(local.get(0), this.nowNanos));
	}

	/** Guards against calls to a replica that is lost. */
	@Test
	void lostReplicaGetsNothing() {
		assertThat(shares(120, REPLICAS.subList(1, 3))).doesNotContainKey("a");
	}

	private Map<String, Double> shares(double callsPerSecond, List<Replica> listed) {
		ClassLoad load = new ClassLoad(callsPerSecond, 0, 0, 0);
		FleetRoutes routes = new FleetRoutes(GHENT, new BalancingOptions(Activation.ALWAYS, 1.3, 10_000), (engine) -> 1,
				this.times,
				(now) -> List.of(new DataCentreDemand(GHENT, 1,
						new DemandReport(Map.of(new DemandClass("p", 0), load), Map.of()), now)),
				new FleetRoutes.Listener() {
					@Override
					public void onActivation(String service, boolean isActive, String reason) {
					}

					@Override
					public void onShares(String service, List<DataCentreLoad> loads, boolean isLarge) {
					}
				});
		routes.tick(Map.of("p", listed), RULES, this.nowNanos);
		SplittableRandom random = new SplittableRandom(1);
		Map<String, Double> result = new HashMap<>();
		List<Replica> candidates = new ArrayList<>(listed);
		for (int call = 0; call < 1_000; call++) {
			Replica chosen = routes.choosePlain("p", candidates, (replica) -> 0, random, this.nowNanos).orElseThrow();
			result.merge(chosen.id(), 0.001, Double::sum);
		}
		result.replaceAll((id, share) -> Math.round(1_000 * share) / 1_000.0);
		return result;
	}

	private static Replica replica(String id, String dataCentre) {
		return new Replica(id, 1, "p", new NetworkAddress("10.0.0.1", 1), new DataCentre(dataCentre), 6, false,
				Optional.empty(), Optional.empty());
	}

}
