package org.burdocktray.process.serve.gateway;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.burdocktray.process.directory.Replica;
import org.burdocktray.request.path.LayerPath;
import org.burdocktray.request.path.PathDemand;
import org.burdocktray.version.rules.EngineProfile;
import org.burdocktray.version.rules.ServiceRule;

/**
 * Chooses where the attempts of one request go. Replicas on which it has failed are not
 * chosen again while there are others. Thread safety: none, confined to the request.
 */
final class TargetSelector {

	private static final double REMOTE_DATA_CENTRE_PENALTY = 0.5;

	private static final double MAX_RANDOM_PENALTY = 0.1;

	/** The share of an engine's KV cache that new requests may fill. */
	private static final double KV_SHARE = 0.85;

	private final GatewayContext context;

	private final ServiceRule service;

	private final RequestHead requestHead;

	private final Set<String> excludedIds = new HashSet<>();

	TargetSelector(GatewayContext context, ServiceRule service, RequestHead head) {
		this.context = context;
		this.service = service;
		this.requestHead = head;
	}

	void exclude(Replica replica) {
		this.excludedIds.add(replica.id());
	}

	/**
	 * Chooses the next target.
	 * @return the target, empty when no replica can take the request now
	 */
	Optional<Target> select() {
		if (this.service.engine().isPresent()) {
			return selectEngines(this.service.engine().get());
		}
		return selectReplica();
	}

	/**
	 * Tells whether replicas could take the request if they had room.
	 * @return whether any replica of the service is listed and not avoided
	 */
	boolean canWait() {
		return this.service.engine()
			.flatMap((profile) -> this.context.pathSearch()
				.find(candidates(), pathDemand(profile, Double.MAX_VALUE), profile))
			.isPresent();
	}

	/**
	 * Chooses another path behind the first engine of the present one.
	 * @param present the present target
	 * @return the target with the new path
	 */
	Optional<Target> selectBehindHead(Target present) {
		LayerPath path = present.path().orElseThrow();
		EngineProfile profile = this.service.engine().orElseThrow();
		return this.context.pathSearch()
			.findAfter(path.stages().get(0), candidates(), pathDemand(profile, 1), profile)
			.map((found) -> new Target(present.replica(), Optional.of(found), present.tokens()));
	}

	private Optional<Target> selectEngines(EngineProfile profile) {
		PathDemand demand = pathDemand(profile, KV_SHARE);
		return this.context.pathSearch()
			.find(candidates(), demand, profile)
			.map((path) -> new Target(path.head(), Optional.of(path), demand.totalTokens()));
	}

	private Optional<Target> selectReplica() {
		List<Replica> listed = this.context.directory().usable(this.service.name());
		List<Replica> preferred = candidates();
		List<Replica> untried = listed.stream().filter((replica) -> !this.excludedIds.contains(replica.id())).toList();
		List<Replica> from = preferred.isEmpty() ? untried : preferred;
		return from.stream()
			.map((replica) -> new ScoredReplica(replica, score(replica)))
			.min(Comparator.comparingDouble(ScoredReplica::score))
			.map((scored) -> new Target(scored.replica(), Optional.empty(), 0));
	}

	private List<Replica> candidates() {
		long nowNanos = System.nanoTime();
		return this.context.directory()
			.usable(this.service.name())
			.stream()
			.filter((replica) -> !this.excludedIds.contains(replica.id()))
			.filter((replica) -> !this.context.loads().isAvoided(replica, nowNanos))
			.toList();
	}

	private double score(Replica replica) {
		double inFlight = this.context.loads().inFlight(replica) / (double) Math.max(1, replica.slots());
		double distance = replica.dataCentre().equals(this.context.localDataCentre()) ? 0 : REMOTE_DATA_CENTRE_PENALTY;
		return inFlight + distance + MAX_RANDOM_PENALTY * this.context.random().nextDouble();
	}

	private PathDemand pathDemand(EngineProfile profile, double kvShare) {
		int prompt = this.requestHead.promptTokens().orElse(profile.typicalPromptTokens());
		int most = this.requestHead.maxOutputTokens().orElse(profile.typicalOutputTokens());
		int expected = Math.min(most, this.requestHead.expectedOutputTokens().orElse(profile.typicalOutputTokens()));
		return new PathDemand(prompt, expected, kvShare);
	}

	private record ScoredReplica(Replica replica, double score) {

	}

}
