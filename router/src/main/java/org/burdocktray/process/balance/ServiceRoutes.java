package org.burdocktray.process.balance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

import org.burdocktray.model.DataCentre;
import org.burdocktray.process.demand.ClassLoad;
import org.burdocktray.process.demand.DataCentreDemand;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.version.routing.WeightedChoice;
import org.burdocktray.version.rules.EngineProfile;

/**
 * The flows and shares of one service. Thread safety: none, confined to one event loop.
 */
final class ServiceRoutes {

	/** A change of an engine's speed below this ratio does not change the flow. */
	private static final double MIN_SPEED_CHANGE = 1.2;

	/** A change of speed of at least this ratio is followed at once. */
	private static final double LARGE_SPEED_CHANGE = 2;

	/**
	 * Flows are solved at most this often for smaller changes of speed, since reported
	 * speeds vary.
	 */
	private static final long SPEED_NANOS = TimeUnit.SECONDS.toNanos(2);

	/** As many engines lost at once count as a group. */
	private static final int MIN_LOST_GROUP = 2;

	private final ServiceShares shares;

	private final double imbalanceRatio;

	private final Map<DataCentre, SolvedFlow> flows = new TreeMap<>();

	private WeightedChoice<DataCentre> choice = WeightedChoice.of(List.of(), (dataCentre) -> 0);

	private EngineProfile profile;

	private StreamTargets targets = StreamTargets.NONE;

	private Set<String> knownInstances = Set.of();

	private boolean hasUnlikeEngines;

	ServiceRoutes(ServiceShares shares, double imbalanceRatio) {
		this.shares = shares;
		this.imbalanceRatio = imbalanceRatio;
	}

	boolean isActive() {
		return this.shares.isActive();
	}

	Optional<List<Replica>> draw(RandomGenerator random) {
		if (!isActive() || this.choice.isEmpty()) {
			return Optional.empty();
		}
		SolvedFlow solved = this.flows.get(this.choice.pick(random.nextDouble()));
		return (solved != null) ? solved.flow().draw(random) : Optional.empty();
	}

	/**
	 * Solves the flows of the data centres whose engines have changed.
	 * @param listed the usable engines
	 * @param newProfile the profile in force
	 * @param newTargets the targets in force
	 * @param slowdownFactor the factor by which an engine is slower than its kind
	 * @param nowNanos the current time of the monotonic clock
	 */
	void update(List<Replica> listed, EngineProfile newProfile, StreamTargets newTargets,
			ToDoubleFunction<Replica> slowdownFactor, long nowNanos) {
		boolean hasNewRules = !newProfile.equals(this.profile) || !newTargets.equals(this.targets);
		this.profile = newProfile;
		this.targets = newTargets;
		Map<DataCentre, List<FlowEngine>> byDataCentre = new HashMap<>();
		for (Replica engine : listed) {
			engine.acceleratorKind()
				.flatMap(newProfile::kind)
				.ifPresent((kind) -> engine.layers()
					.ifPresent((held) -> byDataCentre.computeIfAbsent(engine.dataCentre(), (key) -> new ArrayList<>())
						.add(new FlowEngine(engine, held, kind, slowdownFactor.applyAsDouble(engine)))));
		}
		this.flows.keySet().retainAll(byDataCentre.keySet());
		byDataCentre.forEach((dataCentre, engines) -> {
			SolvedFlow solved = this.flows.get(dataCentre);
			if (hasNewRules || solved == null || !solved.isSolutionFor(engines, nowNanos)) {
				this.flows.put(dataCentre, new SolvedFlow(nowNanos, engines,
						EngineFlow.solve(engines, new PassTimes(newProfile), newTargets)));
			}
		});
		judgeEngines(byDataCentre.values().stream().flatMap(List::stream).toList(), nowNanos);
	}

	/**
	 * Divides requests between the data centres.
	 * @param demands the demand of the data centres
	 * @param nowNanos the current time of the monotonic clock
	 */
	void divide(List<DataCentreDemand> demands, long nowNanos) {
		Map<DataCentre, Double> capacity = new TreeMap<>();
		this.flows.forEach((dataCentre, solved) -> capacity.put(dataCentre, solved.flow().requestsPerSecond()));
		this.shares.divide(demands, this::typicalRequestsPerSecond, capacity, this.hasUnlikeEngines, nowNanos);
		Map<DataCentre, Double> divided = this.shares.shares();
		this.choice = WeightedChoice.of(List.copyOf(divided.keySet()), divided::get);
	}

	private void judgeEngines(List<FlowEngine> engines, long nowNanos) {
		double fastest = engines.stream().mapToDouble((engine) -> engine.kind().stepFactor()).min().orElse(1);
		double slowest = engines.stream().mapToDouble((engine) -> engine.kind().stepFactor()).max().orElse(1);
		this.hasUnlikeEngines = slowest > this.imbalanceRatio * fastest;
		Set<String> instances = new HashSet<>();
		engines.forEach((engine) -> instances.add(engine.engine().id() + " " + engine.engine().startedAtMillis()));
		long lost = this.knownInstances.stream().filter((instance) -> !instances.contains(instance)).count();
		this.knownInstances = instances;
		if (lost >= MIN_LOST_GROUP) {
			this.shares.extend(nowNanos);
		}
	}

	// Prompt and output count one half each, and a request without a number of tokens as
	// a typical one.
	private double typicalRequestsPerSecond(ClassLoad load) {
		return (inTypical(load.promptTokensPerSecond(), this.profile.typicalPromptTokens(), load)
				+ inTypical(load.outputTokensPerSecond(), this.profile.typicalOutputTokens(), load)) / 2;
	}

	private static double inTypical(double tokensPerSecond, int typicalTokens, ClassLoad load) {
		return (tokensPerSecond > 0 && typicalTokens > 0) ? tokensPerSecond / typicalTokens : load.requestsPerSecond();
	}

	/**
	 * A flow and the engines for which it was solved. Thread safety: immutable.
	 */
	private record SolvedFlow(long solvedNanos, List<FlowEngine> engines, EngineFlow flow) {

		boolean isSolutionFor(List<FlowEngine> others, long nowNanos) {
			if (this.engines.size() != others.size()) {
				return false;
			}
			double maxChange = (nowNanos - this.solvedNanos < SPEED_NANOS) ? LARGE_SPEED_CHANGE : MIN_SPEED_CHANGE;
			for (int index = 0; index < others.size(); index++) {
				FlowEngine known = this.engines.get(index);
				FlowEngine other = others.get(index);
				double ratio = other.slowdownFactor() / known.slowdownFactor();
				if (!known.engine().equals(other.engine()) || ratio >= maxChange || ratio <= 1 / maxChange) {
					return false;
				}
			}
			return true;
		}

	}

}
