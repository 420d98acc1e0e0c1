package org.burdocktray.request.path;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

import org.burdocktray.model.DataCentre;
import org.burdocktray.process.directory.LayerRange;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.process.directory.ReplicaLoads;
import org.burdocktray.version.rules.AcceleratorKind;
import org.burdocktray.version.rules.EngineProfile;

/**
 * Finds the path with the shortest expected completion time of a request. Each engine
 * runs the layers from the end of the previous stage to the last layer that it holds.
 * Paths stay within one data centre if possible, because the activations of every token
 * cross each data centre boundary on the path. Costs vary slightly at random, so that VMs
 * that decide on the same load data do not all choose the same engine. Thread safety:
 * none, confined to one event loop.
 */
public final class PathSearch {

	/** The cost of serving a request in another data centre. */
	private static final double REMOTE_DATA_CENTRE_COST_MILLIS = 60;

	/** The cost of each boundary between data centres on a path. */
	private static final double BOUNDARY_COST_MILLIS = 5_000;

	private static final double COST_VARIATION = 0.1;

	private static final double MILLIS_PER_SECOND = 1_000;

	private static final double TOKENS_PER_CONTEXT_UNIT = 1_000;

	private final DataCentre localDataCentre;

	private final ReplicaLoads loads;

	private final RandomGenerator random;

	/**
	 * Creates the search.
	 * @param localDataCentre the data centre of this VM
	 * @param loads the load of the engines
	 * @param random the source of the cost variation
	 */
	public PathSearch(DataCentre localDataCentre, ReplicaLoads loads, RandomGenerator random) {
		this.localDataCentre = localDataCentre;
		this.loads = loads;
		this.random = random;
	}

	/**
	 * Finds the path with the lowest cost.
	 * @param engines the engines that may be used
	 * @param demand the resources that the request needs
	 * @param profile the performance profile of the engines
	 * @return the path, or empty if the engines with enough free cache do not hold all
	 * layers
	 */
	public Optional<LayerPath> find(List<Replica> engines, PathDemand demand, EngineProfile profile) {
		return find(engines, demand, profile, (engine) -> true);
	}

	/**
	 * Finds the path with the lowest cost that begins at one of some engines.
	 * @param engines the engines that may be used
	 * @param demand the resources that the request needs
	 * @param profile the performance profile of the engines
	 * @param mayBeFirst whether the request may be sent to an engine
	 * @return the path, or empty if there is none
	 */
	public Optional<LayerPath> find(List<Replica> engines, PathDemand demand, EngineProfile profile,
			Predicate<Replica> mayBeFirst) {
		List<Candidate> allCandidates = candidates(engines, demand, profile);
		Map<DataCentre, List<Candidate>> byDataCentre = new HashMap<>();
		allCandidates.forEach((candidate) -> byDataCentre
			.computeIfAbsent(candidate.engine().dataCentre(), (dataCentre) -> new ArrayList<>())
			.add(candidate));
		PartialPath best = null;
		for (Map.Entry<DataCentre, List<Candidate>> local : byDataCentre.entrySet()) {
			double surcharge = local.getKey().equals(this.localDataCentre) ? 0 : REMOTE_DATA_CENTRE_COST_MILLIS;
			best = cheaper(best, search(0, local.getValue(), demand, profile, surcharge, mayBeFirst));
		}
		if (best == null) {
			best = search(0, allCandidates, demand, profile, 0, mayBeFirst);
		}
		return Optional.ofNullable(best).map((found) -> new LayerPath(found.stages()));
	}

	/**
	 * Finds the path with the lowest cost that keeps a given first stage.
	 * @param first the first stage
	 * @param engines the engines that may be used after it
	 * @param demand the resources that the request needs
	 * @param profile the performance profile of the engines
	 * @return the complete path, or empty if the engines with enough free cache do not
	 * hold the remaining layers
	 */
	public Optional<LayerPath> findAfter(PathStage first, List<Replica> engines, PathDemand demand,
			EngineProfile profile) {
		Replica head = first.replica();
		List<Candidate> others = candidates(
				engines.stream().filter((engine) -> !engine.id().equals(head.id())).toList(), demand, profile);
		List<Candidate> local = others.stream()
			.filter((candidate) -> candidate.engine().dataCentre().equals(head.dataCentre()))
			.toList();
		int layer = first.layers().to();
		PartialPath rest = search(layer, local, demand, profile, 0);
		if (rest == null) {
			rest = search(layer, others, demand, profile, 0);
		}
		return Optional.ofNullable(rest).map((found) -> new LayerPath(new PartialPath(0, first, found).stages()));
	}

	private static PartialPath search(int layer, List<Candidate> candidates, PathDemand demand, EngineProfile profile,
			double surcharge) {
		return search(layer, candidates, demand, profile, surcharge, (engine) -> true);
	}

	private static PartialPath search(int layer, List<Candidate> candidates, PathDemand demand, EngineProfile profile,
			double surcharge, Predicate<Replica> mayBeFirst) {
		PartialPath[] cheapest = new PartialPath[profile.layers() + 1];
		cheapest[profile.layers()] = new PartialPath(surcharge, null, null);
		boolean[] isSolved = new boolean[profile.layers() + 1];
		List<Candidate> first = candidates.stream().filter((candidate) -> mayBeFirst.test(candidate.engine())).toList();
		return searchFrom(layer, first, candidates, demand, cheapest, isSolved);
	}

	// Returns the cheapest stages from a layer on, or null if there are none. Solves each
	// layer once.
	private static PartialPath searchFrom(int layer, List<Candidate> next, List<Candidate> candidates,
			PathDemand demand, PartialPath[] cheapest, boolean[] isSolved) {
		if (cheapest[layer] != null || isSolved[layer]) {
			return cheapest[layer];
		}
		isSolved[layer] = true;
		PartialPath best = null;
		for (Candidate candidate : next) {
			if (!candidate.canRunFrom(layer, demand)) {
				continue;
			}
			PartialPath rest = searchFrom(candidate.held().to(), candidates, candidates, demand, cheapest, isSolved);
			if (rest == null) {
				continue;
			}
			double cost = rest.costMillis() + candidate.costMillis(layer) + boundaryCostMillis(candidate, rest);
			if (best == null || cost < best.costMillis()) {
				best = new PartialPath(cost, candidate.stageFrom(layer), rest);
			}
		}
		cheapest[layer] = best;
		return best;
	}

	private static PartialPath cheaper(PartialPath left, PartialPath right) {
		if (left == null) {
			return right;
		}
		return (right != null && right.costMillis() < left.costMillis()) ? right : left;
	}

	private static double boundaryCostMillis(Candidate candidate, PartialPath rest) {
		boolean crosses = rest.stage() != null
				&& !rest.stage().replica().dataCentre().equals(candidate.engine().dataCentre());
		return crosses ? BOUNDARY_COST_MILLIS : 0;
	}

	private List<Candidate> candidates(List<Replica> engines, PathDemand demand, EngineProfile profile) {
		List<Candidate> result = new ArrayList<>(engines.size());
		for (Replica engine : engines) {
			Optional<AcceleratorKind> kind = engine.acceleratorKind().flatMap(profile::kind);
			if (kind.isPresent() && engine.layers().isPresent()) {
				result.add(candidate(engine, kind.get(), demand, profile));
			}
		}
		return result;
	}

	// Estimates how long an engine is occupied by a request, from its queue to its last
	// token.
	private Candidate candidate(Replica engine, AcceleratorKind kind, PathDemand demand, EngineProfile profile) {
		LayerRange held = engine.layers().orElseThrow();
		double capacity = profile.kvTokenLayers(kind, held.size());
		long used = this.loads.kvUsed(engine);
		int sequences = this.loads.sequences(engine);
		double context = sequences * profile.typicalRequestTokens() / TOKENS_PER_CONTEXT_UNIT;
		double stepMillis = profile.stepMillis() + profile.sequenceMillis() * (sequences + 1)
				+ profile.contextMillis() * context;
		double prefillMillis = MILLIS_PER_SECOND * demand.promptTokens() / profile.prefillTokensPerSecond();
		double utilisationFactor = 1 + used / Math.max(1, capacity);
		double variationFactor = 1 + COST_VARIATION * (this.random.nextDouble() - 0.5);
		double millis = this.loads.slowdownFactor(engine) * utilisationFactor * variationFactor
				* (kind.prefillFactor() * prefillMillis + kind.stepFactor() * stepMillis * demand.outputTokens());
		return new Candidate(engine, held, capacity * demand.maxKvFraction() - used, millis / profile.layers());
	}

	/**
	 * An engine with the estimated cost and free cache for the request. Thread safety:
	 * immutable.
	 */
	private record Candidate(Replica engine, LayerRange held, double freeTokenLayers, double millisPerLayer) {

		boolean canRunFrom(int layer, PathDemand demand) {
			return this.held.contains(layer)
					&& this.freeTokenLayers >= (double) demand.totalTokens() * (this.held.to() - layer);
		}

		double costMillis(int layer) {
			return this.millisPerLayer * (this.held.to() - layer);
		}

		PathStage stageFrom(int layer) {
			return new PathStage(this.engine, new LayerRange(layer, this.held.to()));
		}

	}

	/**
	 * The stages from a layer on, as a linked list; the element after the last layer has
	 * no stage. Thread safety: immutable.
	 */
	private record PartialPath(double costMillis, PathStage stage, PartialPath rest) {

		List<PathStage> stages() {
			List<PathStage> result = new ArrayList<>();
			for (PartialPath element = this; element.stage != null; element = element.rest) {
				result.add(element.stage);
			}
			return result;
		}

	}

}
