package org.burdocktray.process.serve.gateway;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import org.burdocktray.model.NetworkAddress;
import org.burdocktray.process.balance.StreamTargets;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.process.pressure.Placement;
import org.burdocktray.process.pressure.RequestPlacement;
import org.burdocktray.request.path.FlowPathChoice;
import org.burdocktray.request.path.LayerPath;
import org.burdocktray.request.path.LoadSpread;
import org.burdocktray.request.path.PathDemand;
import org.burdocktray.request.path.PathStage;
import org.burdocktray.version.rules.EngineProfile;
import org.burdocktray.version.rules.ServiceRule;

/**
 * Selects the targets of one request's attempts. Replicas on which the request has failed
 * are not selected again for a while. Avoided plain replicas and engines that have fallen
 * silent are selected only when no other is left. Thread safety: none, confined to the
 * request.
 */
final class TargetSelector {

	private static final double REMOTE_DATA_CENTRE_PENALTY = 0.5;

	private static final double MAX_RANDOM_PENALTY = 0.1;

	/** How long a replica is excluded on which the request has failed. */
	private static final long EXCLUSION_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final GatewayContext context;

	private final ServiceRule service;

	private final StreamTargets targets;

	private final RequestHead requestHead;

	private final String route;

	/** False for requests that another VM relays already. */
	private final boolean mayBeRelayed;

	/** The times until which replicas are excluded, by their ids. */
	private final Map<String, Long> exclusions = new HashMap<>();

	/**
	 * Empty for requests that are always served here: relayed ones and resumed streams.
	 */
	private final Optional<RequestPlacement> placement;

	private Set<String> suspectUpstreams = Set.of();

	TargetSelector(GatewayContext context, AdmittedRequest admitted) {
		this.context = context;
		this.service = admitted.service();
		this.targets = StreamTargets.of(admitted.route());
		this.requestHead = admitted.head();
		this.route = admitted.route().name();
		this.mayBeRelayed = admitted.relayed().isEmpty();
		this.placement = context.pressure()
			.filter((pressure) -> this.mayBeRelayed && this.requestHead.lastEventId().isEmpty())
			.map((pressure) -> new RequestPlacement(pressure, this::mayBeHandedTo, context.relays()::inFlight));
	}

	void exclude(Replica replica) {
		this.exclusions.put(replica.id(), System.nanoTime() + EXCLUSION_NANOS);
	}

	/**
	 * Selects the next target, if possible among replicas that run no request suspected
	 * of crashing replicas.
	 * @param suspectUpstreams the names of replicas that run such requests
	 * @return the target, empty when no replica can take the request now
	 */
	Optional<Target> select(Set<String> suspectUpstreams) {
		if (isCutOff()) {
			return selectRelay();
		}
		Optional<Target> relieving = selectRelievingVm();
		if (relieving.isPresent()) {
			return relieving;
		}
		this.suspectUpstreams = suspectUpstreams;
		Optional<Target> isolated = selectAny();
		if (isolated.isPresent() || suspectUpstreams.isEmpty()) {
			return isolated;
		}
		this.suspectUpstreams = Set.of();
		return selectAny();
	}

	/**
	 * Selects a target for a second run beside a silent one. An avoided replica would be
	 * no better than the silent one.
	 * @param silent the replica to which the silent run was sent
	 * @param suspectUpstreams the names of replicas that run such requests
	 * @return a target that starts at another replica, empty when there is none now
	 */
	Optional<Target> selectInsteadOf(Replica silent, Set<String> suspectUpstreams) {
		this.suspectUpstreams = suspectUpstreams;
		if (isCutOff()) {
			return selectRelay().filter((target) -> !target.replica().id().equals(silent.id()));
		}
		if (this.service.engine().isEmpty()) {
			return selectAmong(without(silent));
		}
		return selectEngines(this.service.engine().get(), without(silent));
	}

	/**
	 * Selects a target for a hedged run, only among engines from which new requests do
	 * not turn away yet.
	 * @param running the target of the first run
	 * @param suspectUpstreams the names of replicas that run requests suspected of
	 * crashing replicas
	 * @return a target that shares no replica with the first run, empty when there is
	 * none now
	 */
	Optional<Target> selectApartFrom(Target running, Set<String> suspectUpstreams) {
		this.suspectUpstreams = suspectUpstreams;
		List<Replica> others = candidates().stream()
			.filter((replica) -> running.replicas().stream().noneMatch((used) -> used.id().equals(replica.id())))
			.toList();
		if (this.service.engine().isEmpty()) {
			return selectAmong(others);
		}
		PathDemand demand = createPathDemand(this.service.engine().get(), LoadSpread.EARLY_KV_SHARE);
		return findPath(withoutSilent(others), demand, this.service.engine().get(), this.context.limits()::hasRoom)
			.map((path) -> new Target(path.head(), Optional.of(path), demand.totalTokens()));
	}

	/**
	 * Returns whether it is not known yet which way requests can be sent.
	 * @return true for a moment after this VM has lost contact to replicas
	 */
	boolean isReachUncertain() {
		return isReachInDoubt() || (this.mayBeRelayed && this.context.relays().isAwaitingOffers());
	}

	/**
	 * Returns whether it is being found out if this VM reaches replicas. The other
	 * replicas may be lost as well then, and an attempt at one may not be repeatable.
	 * @return true for a moment after a failure
	 */
	boolean isReachInDoubt() {
		return this.context.reach().isInDoubt();
	}

	/**
	 * Returns whether this VM is saturated and no other one takes the request.
	 * @return false also once the request may have run
	 */
	boolean isRejectedForPressure() {
		return !isCutOff() && this.placement.map((place) -> place.get(System.nanoTime()))
			.filter(Placement.Rejected.class::isInstance)
			.isPresent();
	}

	/**
	 * Records that an attempt has failed. A request that another VM has not taken may be
	 * handed to one more, unless it may have run.
	 * @param target where the request was sent
	 */
	void recordNotTaken(Target target) {
		this.placement.filter((place) -> target.isRelay())
			.ifPresent((place) -> place.recordNotTaken(target.replica().address(), System.nanoTime()));
	}

	/** Records that the request may have run, so that it is not handed over any more. */
	void keepHere() {
		this.placement.ifPresent(RequestPlacement::keepHere);
	}

	private Optional<Target> selectRelievingVm() {
		return this.placement.map((place) -> place.get(System.nanoTime()))
			.filter(Placement.AtVm.class::isInstance)
			.map(Placement.AtVm.class::cast)
			.flatMap((at) -> this.context.relays().findForPressure(at.vm()));
	}

	private boolean mayBeHandedTo(NetworkAddress vm) {
		long nowNanos = System.nanoTime();
		// A VM that declines after it has sent the request makes the next attempt a
		// retry.
		boolean mayRetry = this.context.retryBudget()
			.hasRetries(RequestPlacement.MAX_VMS, this.service.name(), nowNanos);
		return mayRetry && this.context.relayKey().value().isPresent()
				&& this.context.relays()
					.findForPressure(vm)
					.filter((target) -> !isExcluded(target.replica(), nowNanos))
					.isPresent();
	}

	private boolean isCutOff() {
		return this.context.reach().isCutOff() && this.context.relays().hasOtherVms();
	}

	private Optional<Target> selectRelay() {
		if (!this.mayBeRelayed || this.context.relayKey().value().isEmpty()) {
			return Optional.empty();
		}
		long nowNanos = System.nanoTime();
		return this.context.relays().select((vm) -> isExcluded(vm, nowNanos));
	}

	private Optional<Target> selectAny() {
		if (this.service.engine().isPresent()) {
			return selectEngines(this.service.engine().get(), candidates());
		}
		return selectReplica();
	}

	/**
	 * Returns whether engines could take the request once they have free capacity.
	 * @return whether the engines that are neither excluded nor avoided form a path;
	 * false for services without engines, and while this VM reaches none
	 */
	boolean canWait() {
		if (isCutOff()) {
			return false;
		}
		return this.service.engine()
			.flatMap((profile) -> this.context.pathSearch()
				.find(candidates(), createPathDemand(profile, Double.MAX_VALUE), profile))
			.isPresent();
	}

	/**
	 * Returns how long the limits that replicas name, and the pauses that they ask for,
	 * keep this VM from sending the request.
	 * @return the time until a replica takes it that could take it otherwise, 0 if there
	 * is none
	 */
	long nanosUntilRoom() {
		long pauseNanos = this.context.limits().nanosUntilPauseEnds(receivers());
		if (pauseNanos > 0) {
			return pauseNanos;
		}
		if (!this.context.limits().isAnyLimited()) {
			return 0;
		}
		List<Replica> replicas = candidates();
		if (this.service.engine().isEmpty()) {
			return this.context.limits().nanosUntilRoom(replicas);
		}
		EngineProfile profile = this.service.engine().get();
		List<Replica> heads = replicas.stream()
			.filter((engine) -> engine.layers().filter((held) -> held.from() == 0).isPresent())
			.filter((engine) -> this.context.pathSearch()
				.find(replicas, createPathDemand(profile, LoadSpread.MAX_KV_SHARE), profile, engine::equals)
				.isPresent())
			.toList();
		return this.context.limits().nanosUntilRoom(heads);
	}

	/**
	 * Selects another path behind the first engine of the current one.
	 * @param current the current target
	 * @return a target with the new path, empty when there is none
	 */
	Optional<Target> selectBehindHead(Target current) {
		PathStage head = current.path().orElseThrow().stages().get(0);
		EngineProfile profile = this.service.engine().orElseThrow();
		List<Replica> engines = candidates();
		return findBehindHead(head, engines, profile)
			.or(() -> this.context.pathSearch().findAfter(head, engines, createPathDemand(profile, 1), profile))
			.map((found) -> new Target(current.replica(), Optional.of(found), current.tokens()));
	}

	// All streams of a lost engine look for another one at the same time, so they are
	// spread like new ones.
	private Optional<LayerPath> findBehindHead(PathStage head, List<Replica> engines, EngineProfile profile) {
		if (this.context.routes().filter((routes) -> routes.isActive(this.service.name())).isEmpty()) {
			return Optional.empty();
		}
		return this.context.pathSearch()
			.findAfter(head, withoutSilent(engines), createPathDemand(profile, this.context.loadSpread().drawKvShare()),
					profile);
	}

	private List<Replica> without(Replica silent) {
		return candidates().stream().filter((replica) -> !replica.id().equals(silent.id())).toList();
	}

	private Optional<Target> selectEngines(EngineProfile profile, List<Replica> engines) {
		List<Replica> responsive = withoutSilent(engines);
		LoadSpread spread = this.context.loadSpread();
		Predicate<Replica> hasRoom = this.context.limits()::hasRoom;
		PathDemand demand = createPathDemand(profile, LoadSpread.MAX_KV_SHARE);
		Optional<LayerPath> found = drawPath(profile, demand, responsive, hasRoom);
		if (found.isPresent()) {
			this.context.metrics().recordPathChoice("flow");
			return found.map((path) -> new Target(path.head(), Optional.of(path), demand.totalTokens()));
		}
		found = findPath(responsive, createPathDemand(profile, spread.drawKvShare()), profile,
				hasRoom.and(spread::mayBegin))
			.or(() -> findPath(responsive, demand, profile, hasRoom));
		if (found.isEmpty() && responsive.size() < engines.size()) {
			found = findPath(engines, demand, profile, hasRoom);
		}
		found.ifPresent((path) -> this.context.metrics().recordPathChoice("search"));
		return found.map((path) -> new Target(path.head(), Optional.of(path), demand.totalTokens()));
	}

	private Optional<LayerPath> drawPath(EngineProfile profile, PathDemand demand, List<Replica> engines,
			Predicate<Replica> mayBeFirst) {
		return this.context.flowPaths()
			.flatMap((paths) -> paths.choose(
					new FlowPathChoice.Request(this.service.name(), profile, this.targets, demand), engines, mayBeFirst,
					System.nanoTime()));
	}

	private List<Replica> withoutSilent(List<Replica> engines) {
		long nowNanos = System.nanoTime();
		return engines.stream().filter((engine) -> !this.context.outputs().isSilent(engine, nowNanos)).toList();
	}

	private Optional<LayerPath> findPath(List<Replica> engines, PathDemand demand, EngineProfile profile,
			Predicate<Replica> mayBeFirst) {
		return this.context.pathSearch().find(engines, demand, profile, mayBeFirst);
	}

	private Optional<Target> selectReplica() {
		List<Replica> listed = this.context.directory().usable(this.service.name());
		List<Replica> preferred = candidates();
		long nowNanos = System.nanoTime();
		List<Replica> untried = listed.stream().filter((replica) -> !isExcluded(replica, nowNanos)).toList();
		return selectAmong(preferred).or(() -> selectAmong(untried));
	}

	private Optional<Target> selectAmong(List<Replica> selectable) {
		List<Replica> withRoom = selectable.stream().filter(this.context.limits()::hasRoom).toList();
		Optional<Replica> drawn = this.context.routes()
			.flatMap((routes) -> routes.choosePlain(this.service.name(), withRoom, this.context.loads()::inFlight,
					this.context.random(), System.nanoTime()));
		if (drawn.isPresent()) {
			return drawn.map((replica) -> new Target(replica, Optional.empty(), 0));
		}
		return withRoom.stream()
			.map((replica) -> new ScoredReplica(replica, score(replica)))
			.min(Comparator.comparingDouble(ScoredReplica::score))
			.map((scored) -> new Target(scored.replica(), Optional.empty(), 0));
	}

	// Those to which requests are sent, whatever their health.
	private List<Replica> receivers() {
		List<Replica> all = this.context.directory().usable(this.service.name());
		if (this.service.engine().isEmpty()) {
			return all;
		}
		return all.stream().filter((engine) -> engine.layers().filter((held) -> held.from() == 0).isPresent()).toList();
	}

	private List<Replica> candidates() {
		long nowNanos = System.nanoTime();
		return this.context.directory()
			.usable(this.service.name())
			.stream()
			.filter((replica) -> !isExcluded(replica, nowNanos))
			.filter((replica) -> !this.context.loads().isAvoided(replica, nowNanos))
			.filter((replica) -> !this.suspectUpstreams.contains(UpstreamNames.of(replica)))
			.toList();
	}

	private boolean isExcluded(Replica replica, long nowNanos) {
		Long untilNanos = this.exclusions.get(replica.id());
		return untilNanos != null && nowNanos - untilNanos < 0;
	}

	private double score(Replica replica) {
		double inFlight = this.context.loads().inFlight(replica) / (double) Math.max(1, replica.slots());
		double distance = replica.dataCentre().equals(this.context.localDataCentre()) ? 0 : REMOTE_DATA_CENTRE_PENALTY;
		return inFlight + distance + MAX_RANDOM_PENALTY * this.context.random().nextDouble();
	}

	private PathDemand createPathDemand(EngineProfile profile, double kvShare) {
		int promptTokens = this.requestHead.promptTokens().orElse(profile.typicalPromptTokens());
		int maxTokens = this.requestHead.maxOutputTokens().orElse(profile.typicalOutputTokens());
		int expectedTokens = Math.min(maxTokens,
				this.requestHead.expectedOutputTokens().orElse(profile.typicalOutputTokens()));
		int reservedTokens = this.context.overload()
			.map((control) -> control.reservedTokens(this.service.name(), this.route, expectedTokens, maxTokens))
			.orElse(expectedTokens);
		return new PathDemand(promptTokens, reservedTokens, kvShare);
	}

	private record ScoredReplica(Replica replica, double score) {

	}

}
