package org.burdocktray.request.path;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.burdocktray.model.DataCentre;
import org.burdocktray.process.directory.LayerRange;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.process.directory.ReplicaLoads;
import org.burdocktray.version.rules.AcceleratorKind;
import org.burdocktray.version.rules.EngineProfile;

/**
 * Finds the path on which a request is expected to end first. An engine is used from the
 * layer where the engine before it ends to its own last layer. Paths stay within one data
 * centre where there is one, because the activations of each token cross every border
 * inside a path. Costs vary a little at random, so that VMs that decide on the same load
 * do not all choose the same engine. Thread safety: none, confined to one event loop.
 */
public final class PathSearch {

	/** What a request is charged for being served in another data centre. */
	private static final double OTHER_DATA_CENTRE_MILLIS = 60;

	/** What a path is charged for each border between data centres inside it. */
	private static final double BORDER_MILLIS = 5_000;

	private static final double RANDOM_SHARE = 0.1;

	private static final double MILLIS_PER_SECOND = 1_000;

	private static final double TOKENS_PER_CONTEXT_UNIT = 1_000;

	private final DataCentre here;

	private final ReplicaLoads loads;

	private final RandomGenerator random;

	/**
	 * Creates the search.
	 * @param here the data centre of this VM
	 * @param loads the load of the engines
	 * @param random the source of the variation
	 */
	public PathSearch(DataCentre here, ReplicaLoads loads, RandomGenerator random) {
		this.here = here;
		this.loads = loads;
		this.random = random;
	}

	/**
	 * Finds the best path.
	 * @param engines the engines that may be used
	 * @param demand what the request needs
	 * @param profile how the engines behave
	 * @return the path, or empty when the engines with room do not hold all layers
	 */
	public Optional<LayerPath> find(List<Replica> engines, PathDemand demand, EngineProfile profile) {
		List<Candidate> all = candidates(engines, demand, profile);
		Map<DataCentre, List<Candidate>> byDataCentre = new HashMap<>();
		all.forEach(
				(candidate) -> byDataCentre.computeIfAbsent(candidate.engine().dataCentre(), (any) -> new ArrayList<>())
					.add(candidate));
		Step best = null;
		for (Map.Entry<DataCentre, List<Candidate>> local : byDataCentre.entrySet()) {
			double surcharge = local.getKey().equals(this.here) ? 0 : OTHER_DATA_CENTRE_MILLIS;
			best = cheaper(best, search(0, local.getValue(), demand, profile, surcharge));
		}
		if (best == null) {
			best = search(0, all, demand, profile, 0);
		}
		return Optional.ofNullable(best).map((step) -> new LayerPath(step.parts()));
	}

	/**
	 * Finds the best path behind a first part that stays.
	 * @param first the first part
	 * @param engines the engines that may be used behind it
	 * @param demand what the request needs
	 * @param profile how the engines behave
	 * @return the whole path, or empty when the engines do not hold the other layers
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
		Step rest = search(layer, local, demand, profile, 0);
		if (rest == null) {
			rest = search(layer, others, demand, profile, 0);
		}
		return Optional.ofNullable(rest).map((step) -> new LayerPath(new Step(0, first, step).parts()));
	}

	private static Step search(int layer, List<Candidate> candidates, PathDemand demand, EngineProfile profile,
			double surcharge) {
		Step[] known = new Step[profile.layers() + 1];
		known[profile.layers()] = new Step(surcharge, null, null);
		return from(layer, candidates, demand, known, new boolean[profile.layers() + 1]);
	}

	// Finds the best parts from a layer on, each layer's once; null when there are none.
	private static Step from(int layer, List<Candidate> candidates, PathDemand demand, Step[] known, boolean[] isDone) {
		if (known[layer] != null || isDone[layer]) {
			return known[layer];
		}
		isDone[layer] = true;
		Step best = null;
		for (Candidate candidate : candidates) {
			if (!candidate.canRunFrom(layer, demand)) {
				continue;
			}
			Step rest = from(candidate.held().to(), candidates, demand, known, isDone);
			if (rest == null) {
				continue;
			}
			double cost = rest.costMillis() + candidate.costMillis(layer) + border(candidate, rest);
			if (best == null || cost < best.costMillis()) {
				best = new Step(cost, candidate.partFrom(layer), rest);
			}
		}
		known[layer] = best;
		return best;
	}

	private static Step cheaper(Step one, Step other) {
		if (one == null) {
			return other;
		}
		return (other != null && other.costMillis() < one.costMillis()) ? other : one;
	}

	private static double border(Candidate candidate, Step rest) {
		boolean crosses = rest.part() != null
				&& !rest.part().replica().dataCentre().equals(candidate.engine().dataCentre());
		return crosses ? BORDER_MILLIS : 0;
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

	// Estimates how long an engine keeps a request, from its queue to its last token.
	private Candidate candidate(Replica engine, AcceleratorKind kind, PathDemand demand, EngineProfile profile) {
		LayerRange held = engine.layers().orElseThrow();
		double capacity = profile.kvTokenLayers(kind, held.size());
		long used = this.loads.kvUsed(engine);
		int sequences = this.loads.sequences(engine);
		double context = sequences * profile.typicalRequestTokens() / TOKENS_PER_CONTEXT_UNIT;
		double step = profile.stepMillis() + profile.sequenceMillis() * (sequences + 1)
				+ profile.contextMillis() * context;
		double prefill = MILLIS_PER_SECOND * demand.promptTokens() / profile.prefillTokensPerSecond();
		double pressure = 1 + used / Math.max(1, capacity);
		double variation = 1 + RANDOM_SHARE * (this.random.nextDouble() - 0.5);
		double millis = this.loads.slowdownFactor(engine) * pressure * variation
				* (kind.prefillFactor() * prefill + kind.stepFactor() * step * demand.outputTokens());
		return new Candidate(engine, held, capacity * demand.maxKvFraction() - used, millis / profile.layers());
	}

	/**
	 * An engine with what a request would meet there. Thread safety: immutable.
	 */
	private record Candidate(Replica engine, LayerRange held, double roomTokenLayers, double millisPerLayer) {

		boolean canRunFrom(int layer, PathDemand demand) {
			return this.held.contains(layer)
					&& this.roomTokenLayers >= (double) demand.totalTokens() * (this.held.to() - layer);
		}

		double costMillis(int layer) {
			return this.millisPerLayer * (this.held.to() - layer);
		}

		PathStage partFrom(int layer) {
			return new PathStage(this.engine, new LayerRange(layer, this.held.to()));
		}

	}

	/**
	 * The parts from a layer on; those behind the last layer have no part. Thread safety:
	 * immutable.
	 */
	private record Step(double costMillis, PathStage part, Step rest) {

		List<PathStage> parts() {
			List<PathStage> result = new ArrayList<>();
			for (Step step = this; step.part != null; step = step.rest) {
				result.add(step.part);
			}
			return result;
		}

	}

}
