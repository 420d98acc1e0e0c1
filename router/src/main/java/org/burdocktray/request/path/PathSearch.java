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
		List<Replica> fitting = engines.stream().filter((engine) -> isKnown(engine, profile)).toList();
		Map<DataCentre, List<Replica>> byDataCentre = new HashMap<>();
		fitting.forEach(
				(engine) -> byDataCentre.computeIfAbsent(engine.dataCentre(), (any) -> new ArrayList<>()).add(engine));
		Optional<Step> best = Optional.empty();
		for (Map.Entry<DataCentre, List<Replica>> local : byDataCentre.entrySet()) {
			double surcharge = local.getKey().equals(this.here) ? 0 : OTHER_DATA_CENTRE_MILLIS;
			Optional<Step> found = search(0, local.getValue(), demand, profile, surcharge);
			best = cheaper(best, found);
		}
		if (best.isEmpty()) {
			best = search(0, fitting, demand, profile, 0);
		}
		return best.map((step) -> new LayerPath(step.parts()));
	}

	/**
	 * Finds the best path behind a first part that stays.
	 * @param first the first part
	 * @param engines the engines that may be used behind it
	 * @param demand what the request needs
	 * @param profile how the engines behave
	 * @return the whole path, or empty when the engines do not hold the other layers
	 */
	public Optional<LayerPath> findBehind(PathPart first, List<Replica> engines, PathDemand demand,
			EngineProfile profile) {
		List<Replica> others = engines.stream()
			.filter((engine) -> !engine.id().equals(first.replica().id()))
			.filter((engine) -> isKnown(engine, profile))
			.toList();
		List<Replica> local = others.stream()
			.filter((engine) -> engine.dataCentre().equals(first.replica().dataCentre()))
			.toList();
		int layer = first.layers().to();
		return search(layer, local, demand, profile, 0).or(() -> search(layer, others, demand, profile, 0))
			.map((rest) -> new LayerPath(rest.behind(first, 0).parts()));
	}

	private Optional<Step> search(int layer, List<Replica> engines, PathDemand demand, EngineProfile profile,
			double surcharge) {
		Map<String, Double> variation = new HashMap<>();
		engines.forEach((engine) -> variation.put(engine.id(), 1 + RANDOM_SHARE * (this.random.nextDouble() - 0.5)));
		Map<Integer, Optional<Step>> known = new HashMap<>();
		known.put(profile.layers(), Optional.of(new Step(surcharge, List.of())));
		return from(layer, engines, demand, profile, variation, known);
	}

	private Optional<Step> from(int layer, List<Replica> engines, PathDemand demand, EngineProfile profile,
			Map<String, Double> variation, Map<Integer, Optional<Step>> known) {
		if (known.containsKey(layer)) {
			return known.get(layer);
		}
		Optional<Step> best = Optional.empty();
		for (Replica engine : engines) {
			LayerRange held = engine.layers().orElseThrow();
			if (!held.contains(layer)) {
				continue;
			}
			PathPart part = new PathPart(engine, new LayerRange(layer, held.to()));
			if (!hasRoom(part, demand, profile)) {
				continue;
			}
			Optional<Step> rest = from(held.to(), engines, demand, profile, variation, known);
			double cost = cost(part, demand, profile) * variation.get(engine.id());
			best = cheaper(best, rest.map((step) -> step.behind(part, cost + border(part, step))));
		}
		known.put(layer, best);
		return best;
	}

	private static Optional<Step> cheaper(Optional<Step> one, Optional<Step> other) {
		if (one.isEmpty()) {
			return other;
		}
		return (other.isPresent() && other.get().costMillis() < one.get().costMillis()) ? other : one;
	}

	private static double border(PathPart part, Step rest) {
		boolean crosses = !rest.parts().isEmpty()
				&& !rest.parts().get(0).replica().dataCentre().equals(part.replica().dataCentre());
		return crosses ? BORDER_MILLIS : 0;
	}

	private static boolean isKnown(Replica engine, EngineProfile profile) {
		return engine.layers().isPresent() && engine.acceleratorKind().flatMap(profile::kind).isPresent();
	}

	private boolean hasRoom(PathPart part, PathDemand demand, EngineProfile profile) {
		AcceleratorKind kind = part.replica().acceleratorKind().flatMap(profile::kind).orElseThrow();
		int held = part.replica().layers().orElseThrow().size();
		double room = profile.kvTokenLayers(kind, held) * demand.kvShare();
		return room - this.loads.kvUsed(part.replica()) >= (double) demand.tokens() * part.layers().size();
	}

	// Estimates how long an engine keeps a request, from its queue to its last token.
	private double cost(PathPart part, PathDemand demand, EngineProfile profile) {
		AcceleratorKind kind = part.replica().acceleratorKind().flatMap(profile::kind).orElseThrow();
		double share = part.layers().size() / (double) profile.layers();
		double slowness = this.loads.slowness(part.replica());
		int sequences = this.loads.sequences(part.replica());
		double context = sequences * profile.usualTokens() / TOKENS_PER_CONTEXT_UNIT;
		double step = profile.stepMillis() + profile.sequenceMillis() * (sequences + 1)
				+ profile.contextMillis() * context;
		double prefill = MILLIS_PER_SECOND * demand.promptTokens() / profile.prefillTokensPerSecond();
		double pressure = 1 + this.loads.kvUsed(part.replica())
				/ Math.max(1, profile.kvTokenLayers(kind, part.replica().layers().orElseThrow().size()));
		return slowness * share * pressure
				* (kind.prefillFactor() * prefill + kind.stepFactor() * step * demand.answerTokens());
	}

	private record Step(double costMillis, List<PathPart> parts) {

		Step behind(PathPart part, double cost) {
			List<PathPart> longer = new ArrayList<>();
			longer.add(part);
			longer.addAll(this.parts);
			return new Step(this.costMillis + cost, longer);
		}

	}

}
