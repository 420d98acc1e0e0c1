package org.burdocktray.request.route;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.burdocktray.model.DataCentre;
import org.burdocktray.process.load.LoadView;
import org.burdocktray.process.load.UpstreamStatus;
import org.burdocktray.version.bundle.Service;
import org.burdocktray.version.bundle.Service.Replica;

/**
 * Chooses the replica of a plain service for one call: of two drawn at random the one
 * with less load, from this VM's data centre as long as that one is not full there.
 * Thread safety: stateless.
 */
public final class ReplicaSelector {

	/**
	 * Chooses a replica that accepts new work.
	 * @param service the service
	 * @param localDataCentre the data centre of this VM
	 * @param excludedUpstreams upstreams that must not be used, by name
	 * @param loads what is known of the upstreams
	 * @param random the source of random choices
	 * @return the replica, empty when none may be used
	 */
	public Optional<Replica> choose(Service service, DataCentre localDataCentre, Set<String> excludedUpstreams,
			LoadView loads, RandomGenerator random) {
		Eligibility eligibility = new Eligibility(excludedUpstreams, loads);
		List<Replica> usable = service.replicas()
			.stream()
			.filter((replica) -> eligibility.allows(replica.name(), loads.status(replica.name())))
			.toList();
		List<Replica> local = usable.stream()
			.filter((replica) -> replica.dataCentre().equals(localDataCentre))
			.toList();
		Optional<Replica> nearest = lessLoadedOfTwo(local, loads, random);
		if (nearest.isPresent() && inFlight(nearest.get(), loads) < nearest.get().maxConcurrentRequests()) {
			return nearest;
		}
		return lessLoadedOfTwo(usable, loads, random);
	}

	private static Optional<Replica> lessLoadedOfTwo(List<Replica> replicas, LoadView loads, RandomGenerator random) {
		if (replicas.isEmpty()) {
			return Optional.empty();
		}
		int firstIndex = random.nextInt(replicas.size());
		Replica first = replicas.get(firstIndex);
		if (replicas.size() == 1) {
			return Optional.of(first);
		}
		int offset = 1 + random.nextInt(replicas.size() - 1);
		Replica second = replicas.get((firstIndex + offset) % replicas.size());
		return Optional.of((utilisation(first, loads) <= utilisation(second, loads)) ? first : second);
	}

	private static double utilisation(Replica replica, LoadView loads) {
		return (double) inFlight(replica, loads) / replica.maxConcurrentRequests();
	}

	private static int inFlight(Replica replica, LoadView loads) {
		UpstreamStatus status = loads.status(replica.name());
		if (status.reportAgeNanos() >= StageLoad.STALE_REPORT_NANOS) {
			return status.ownInFlight();
		}
		return Math.max(status.ownInFlight(), status.reportedInFlight());
	}

}
