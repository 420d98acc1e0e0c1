package org.burdocktray.request.path;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

import org.burdocktray.process.balance.EnginePace;
import org.burdocktray.process.balance.FleetRoutes;
import org.burdocktray.process.balance.PassTimes;
import org.burdocktray.process.balance.StreamTargets;
import org.burdocktray.process.directory.LayerRange;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.process.directory.ReplicaLoads;
import org.burdocktray.version.rules.AcceleratorKind;
import org.burdocktray.version.rules.EngineProfile;

/**
 * Chooses the path of a request among paths drawn by the flow that engines can serve
 * ({@link FleetRoutes}), corrected by the load that this VM knows: of the first two drawn
 * paths that have room and meet the targets, the less utilised one is taken. The draw
 * keeps VMs with the same old reports from choosing the same path; comparing only two
 * keeps the correction by these reports weak. Thread safety: none, confined to one event
 * loop.
 */
public final class FlowPathChoice {

	/** Draws of one round; each costs as much as a path has stages. */
	private static final int MAX_DRAWS = 6;

	private static final int COMPARED_PATHS = 2;

	/** The share of the targets that the expected times may take. */
	private static final double TARGET_SHARE = 0.9;

	/** How much an expected first event at its target counts, in utilisation. */
	private static final double FIRST_EVENT_WEIGHT = 0.4;

	private final FleetRoutes routes;

	private final ReplicaLoads loads;

	private final LoadSpread spread;

	private final EnginePace pace;

	private final RandomGenerator random;

	/**
	 * Creates the choice.
	 * @param routes draws paths
	 * @param loads the load of the engines
	 * @param spread turns requests away from engines before they are full
	 * @param pace notices engines that have become slow
	 * @param random the source of the draws
	 */
	public FlowPathChoice(FleetRoutes routes, ReplicaLoads loads, LoadSpread spread, EnginePace pace,
			RandomGenerator random) {
		this.pace = pace;
		this.routes = routes;
		this.loads = loads;
		this.spread = spread;
		this.random = random;
	}

	/**
	 * Chooses a path through some engines.
	 * @param request what is chosen for
	 * @param usable the engines through which a path may pass, as they are listed
	 * @param mayBeFirst whether the request may be sent to an engine
	 * @param nowNanos the current time of the monotonic clock
	 * @return the path; empty if balancing is not in effect, or no drawn path is usable
	 */
	public Optional<LayerPath> choose(Request request, Collection<Replica> usable, Predicate<Replica> mayBeFirst,
			long nowNanos) {
		if (!this.routes.isActive(request.service())) {
			return Optional.empty();
		}
		Map<String, Replica> byId = new HashMap<>();
		usable.forEach((engine) -> byId.put(engine.id(), engine));
		return choose(request, (engine) -> engine.equals(byId.get(engine.id())), mayBeFirst, nowNanos);
	}

	/**
	 * Chooses a path.
	 * @param request what is chosen for
	 * @param mayUse whether a path may pass through an engine
	 * @param mayBeFirst whether the request may be sent to an engine
	 * @param nowNanos the current time of the monotonic clock
	 * @return the path; empty if balancing is not in effect, or no drawn path is usable
	 */
	public Optional<LayerPath> choose(Request request, Predicate<Replica> mayUse, Predicate<Replica> mayBeFirst,
			long nowNanos) {
		if (!this.routes.isActive(request.service())) {
			return Optional.empty();
		}
		Best early = draw(request, this.spread.drawKvShare(), mayUse, mayBeFirst.and(this.spread::mayBegin),
				(path) -> keepsShare(path, nowNanos));
		if (early.onTime != null) {
			return Optional.of(early.onTime.path());
		}
		Best any = draw(request, LoadSpread.MAX_KV_SHARE, mayUse, mayBeFirst, (path) -> true);
		if (any.onTime != null) {
			return Optional.of(any.onTime.path());
		}
		return Optional.ofNullable(soonest(early.late, any.late)).map(Drawn::path);
	}

	// A path with a slow engine loses share in proportion. It may be all that has
	// room, so it is left out in the first round only.
	private boolean keepsShare(List<Replica> path, long nowNanos) {
		double slowdown = 1;
		for (Replica engine : path) {
			slowdown = Math.max(slowdown, this.pace.slowdown(engine, nowNanos));
		}
		return slowdown <= 1 || this.random.nextDouble() < 1 / slowdown;
	}

	private Best draw(Request request, double kvShare, Predicate<Replica> mayUse, Predicate<Replica> mayBeFirst,
			Predicate<List<Replica>> mayTake) {
		Best best = new Best();
		int onTime = 0;
		for (int draw = 0; draw < MAX_DRAWS && onTime < COMPARED_PATHS; draw++) {
			Optional<List<Replica>> engines = this.routes.draw(request.service(), this.random);
			if (engines.isEmpty()) {
				return best;
			}
			Optional<Drawn> drawn = (mayBeFirst.test(engines.get().get(0)) && mayTake.test(engines.get()))
					? assess(engines.get(), request, kvShare, mayUse) : Optional.empty();
			if (drawn.isEmpty()) {
				continue;
			}
			if (drawn.get().isOnTime()) {
				onTime++;
				best.onTime = (best.onTime == null || drawn.get().score() < best.onTime.score()) ? drawn.get()
						: best.onTime;
			}
			else {
				best.late = soonest(best.late, drawn.get());
			}
		}
		return best;
	}

	private static Drawn soonest(Drawn left, Drawn right) {
		if (left == null || right == null) {
			return (left != null) ? left : right;
		}
		return (right.firstEventMillis() < left.firstEventMillis()) ? right : left;
	}

	private Optional<Drawn> assess(List<Replica> engines, Request request, double kvShare, Predicate<Replica> mayUse) {
		EngineProfile profile = request.profile();
		PassTimes times = new PassTimes(profile);
		List<PathStage> stages = new ArrayList<>(engines.size());
		int layer = 0;
		double utilisation = 0;
		double stepMillis = 0;
		double prefillFactor = 0;
		for (Replica engine : engines) {
			Optional<AcceleratorKind> kind = engine.acceleratorKind().flatMap(profile::kind);
			if (kind.isEmpty() || !mayUse.test(engine)) {
				return Optional.empty();
			}
			LayerRange run = new LayerRange(layer, engine.layers().orElseThrow().to());
			double capacity = profile.kvTokenLayers(kind.get(), engine.layers().orElseThrow().size());
			double needed = (double) request.demand().totalTokens() * run.size();
			double used = this.loads.kvUsed(engine);
			if (used + needed > kvShare * capacity) {
				return Optional.empty();
			}
			utilisation = Math.max(utilisation, used / Math.max(1, capacity));
			double share = run.size() / (double) profile.layers() * this.loads.slowdownFactor(engine);
			stepMillis += share * kind.get().stepFactor()
					* times.stepMillis(1 + this.loads.sequencesSinceReport(engine));
			prefillFactor += share * kind.get().prefillFactor();
			stages.add(new PathStage(engine, run));
			layer = run.to();
		}
		Replica head = engines.get(0);
		utilisation = Math.max(utilisation, this.loads.sequencesSinceReport(head) / (double) Math.max(1, head.slots()));
		double promptTokens = request.demand().promptTokens()
				+ (double) this.loads.queued(head) * profile.typicalPromptTokens();
		double passMillis = profile.stepsPerPass() * stepMillis + prefillFactor * times.prefillMillis(promptTokens);
		double firstEventMillis = times.firstEventPasses(promptTokens) * passMillis;
		StreamTargets targets = request.targets();
		boolean isOnTime = firstEventMillis <= TARGET_SHARE * targets.firstEventMillis()
				&& passMillis <= TARGET_SHARE * targets.eventGapMillis();
		double score = utilisation + FIRST_EVENT_WEIGHT * firstEventMillis / targets.firstEventMillis();
		return Optional.of(new Drawn(new LayerPath(stages), score, firstEventMillis, isOnTime));
	}

	/**
	 * A request for which a path is chosen. Thread safety: immutable.
	 *
	 * @param service the name of the service
	 * @param profile the performance profile of its engines
	 * @param targets the targets of the request
	 * @param demand the resources that the request needs
	 */
	public record Request(String service, EngineProfile profile, StreamTargets targets, PathDemand demand) {

	}

	private record Drawn(LayerPath path, double score, double firstEventMillis, boolean isOnTime) {

	}

	private static final class Best {

		private Drawn onTime;

		private Drawn late;

	}

}
