package org.burdocktray.request.route;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.process.load.UpstreamStatus;
import org.burdocktray.process.load.UpstreamStatus.Availability;
import org.burdocktray.version.bundle.Service;
import org.burdocktray.version.bundle.Service.Replica;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ReplicaSelectorTests {

	private static final DataCentre LOCAL = new DataCentre("x");

	private final Map<String, UpstreamStatus> statuses = new HashMap<>();

	private final SplittableRandom random = new SplittableRandom(5);

	private final Service service = new Service("s",
			List.of(replica("near1", "x"), replica("near2", "x"), replica("far", "y")), List.of(), false);

	@Test
	void selectsLessLoadedLocalReplica() {
		inFlight("near1", 3);
		inFlight("near2", 2);
		assertThat(choose(Set.of())).contains("near2");
	}

	@Test
	void staysLocalWhileLocalReplicaHasFreeCapacity() {
		inFlight("near1", 9);
		inFlight("near2", 9);
		assertThat(choose(Set.of())).get().isIn("near1", "near2");
	}

	@Test
	void selectsRemoteReplicaWhenLocalReplicasAreFull() {
		inFlight("near1", 10);
		inFlight("near2", 11);
		for (int i = 0; i < 50; i++) {
			assertThat(choose(Set.of())).get().isNotEqualTo("near2");
		}
		assertThat(choose(Set.of("near1", "near2"))).contains("far");
	}

	@Test
	void neverSelectsReplicasOutOfService() {
		this.statuses.put("near1", new UpstreamStatus(0, 0, 0, Availability.LEAVING, 0));
		this.statuses.put("near2", new UpstreamStatus(0, 0, 0, Availability.EJECTED, 0));
		assertThat(choose(Set.of())).contains("far");
		assertThat(choose(Set.of("far"))).isEmpty();
	}

	private Optional<String> choose(Set<String> excluded) {
		return new ReplicaSelector()
			.choose(this.service, LOCAL, excluded, (name) -> this.statuses.getOrDefault(name, UpstreamStatus.unknown()),
					this.random)
			.map(Replica::name);
	}

	private void inFlight(String name, int count) {
		this.statuses.put(name, new UpstreamStatus(count, count, 0, Availability.AVAILABLE, Long.MAX_VALUE));
	}

	private static Replica replica(String name, String dataCentre) {
		return new Replica(name, new DataCentre(dataCentre), new NetworkAddress("127.0.0.1", 9000), 10);
	}

}
