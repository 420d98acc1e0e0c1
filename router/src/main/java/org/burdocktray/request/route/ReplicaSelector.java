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
 * Selects the replica of a plain service for one call: the less loaded of two that are
 * drawn at random. Replicas in this VM's data centre are used unless the drawn one has no
 * free capacity. Thread safety: stateless.
 */
public final class ReplicaSelector {

	/**
	 * Selects a replica that accepts new work.
	 * @param service the service
	 * @param localDataCentre the data centre of this VM
	 * @param excludedUpstreams the names of the upstreams that must not be used
	 * @param loads the status of the upstreams in this VM's local view
	 * @param random the source of random choices
	 * @return the replica, empty if none may be used
	 */
	public Optional<Replica> choose(Service service, DataCentre localDataCentre, Set<String> excludedUpstreams,
			LoadView loads, RandomGenerator random) {
		Eligibility eligibility = new Eligibility(excludedUpstreams, loads);
		List<Replica> eligible = service.replicas()
			.stream()
			.filter((replica) -> eligibility.allows(replica.name(), loads.status(replica.name())))
			.toList();
		List<Replica> local = eligible.stream()
			.filter((replica) -> replica.dataCentre().equals(localDataCentre))
			.toList();
		Optional<Replica> localReplica = lessLoadedOfTwo(local, loads, random);
		if (localReplica.isPresent()
				&& inFlight(localReplica.get(), loads) < localReplica.get().maxConcurrentRequests()) {
			return localReplica;
		}
		return lessLoadedOfTwo(eligible, loads, random);
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
