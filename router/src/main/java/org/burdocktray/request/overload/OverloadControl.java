package org.burdocktray.request.overload;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import org.burdocktray.process.demand.ClassLoad;
import org.burdocktray.process.demand.DemandClass;
import org.burdocktray.process.demand.DemandMeter;
import org.burdocktray.process.demand.DemandReport;
import org.burdocktray.process.demand.FleetDemand;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.process.directory.ReplicaDirectory;
import org.burdocktray.process.directory.ReplicaLoads;
import org.burdocktray.process.overload.AdmissionShares;
import org.burdocktray.process.overload.AdmissionThreshold;
import org.burdocktray.process.overload.CapacityChanges;
import org.burdocktray.process.overload.CapacityEstimate;
import org.burdocktray.process.overload.CapacityEstimate.ExpectedResponse;
import org.burdocktray.process.overload.OutputLengths;
import org.burdocktray.process.overload.PriorityLoad;
import org.burdocktray.process.overload.ServicePriorities;
import org.burdocktray.process.overload.ServiceTimes;
import org.burdocktray.process.settings.GatewayOptions.OverloadOptions;
import org.burdocktray.version.rules.EngineProfile;
import org.burdocktray.version.rules.RouteRule;
import org.burdocktray.version.rules.RoutingRules;
import org.burdocktray.version.rules.ServiceRule;

/**
 * Sheds load by priority: decides which requests are admitted while the demand exceeds
 * what the fleet can serve. Invariants: interrupted streams are always admitted; without
 * evidence that the fleet serves late, everything is. Thread safety: none, confined to
 * one event loop.
 */
public final class OverloadControl {

	/** The quantile of the lengths of responses for which memory is reserved. */
	private static final double RESERVED_QUANTILE = 0.9;

	/**
	 * The share that a VM admits at least while it serves nothing late itself, so that a
	 * wrong report of another VM does no more harm.
	 */
	private static final double MIN_SHARE_WITHOUT_EVIDENCE = 0.5;

	/** How long a late request of this VM supports what other VMs report. */
	private static final long EVIDENCE_NANOS = TimeUnit.SECONDS.toNanos(20);

	/** Changes of the threshold are reported at most this often. */
	private static final long REPORT_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(2);

	/** Mean sizes of fewer requests would be divided by almost nothing. */
	private static final double MIN_REQUESTS_PER_SECOND = 0.1;

	private static final double NANOS_PER_MILLI = 1e6;

	private static final double NANOS_PER_SECOND = 1e9;

	private final OverloadOptions options;

	private final DemandMeter meter;

	private final FleetDemand fleetDemand;

	private final ReplicaDirectory directory;

	private final ReplicaLoads loads;

	private final RandomGenerator random;

	private final OverloadListener listener;

	private final OrganisationFairness fairness;

	private final ReturningRequests returning = new ReturningRequests();

	private final OutputLengths outputLengths = new OutputLengths();

	private final ServiceTimes serviceTimes = new ServiceTimes();

	private final Map<String, ServiceState> services = new HashMap<>();

	private ServicePriorities priorities = ServicePriorities.NONE;

	private long rulesVersion = -1;

	/**
	 * Creates a control that admits everything until its first update.
	 * @param options the options
	 * @param meter measures the demand at this VM
	 * @param fleetDemand the demand of the fleet
	 * @param directory the replicas
	 * @param loads the load of the replicas
	 * @param random the source of randomness
	 * @param listener receives the decisions
	 */
	public OverloadControl(OverloadOptions options, DemandMeter meter, FleetDemand fleetDemand,
			ReplicaDirectory directory, ReplicaLoads loads, RandomGenerator random, OverloadListener listener) {
		this.options = options;
		this.meter = meter;
		this.fleetDemand = fleetDemand;
		this.directory = directory;
		this.loads = loads;
		this.random = random;
		this.listener = listener;
		this.fairness = new OrganisationFairness(random);
	}

	/**
	 * Decides anew how much is admitted.
	 * @param rules the rules in force
	 * @param nowNanos the current time of the monotonic clock
	 */
	public void update(RoutingRules rules, long nowNanos) {
		if (rules.version() != this.rulesVersion) {
			this.rulesVersion = rules.version();
			this.priorities = ServicePriorities.of(rules, this.options.activation());
			this.services.keySet().retainAll(this.priorities.services());
			for (String name : this.priorities.services()) {
				ServiceState state = this.services.computeIfAbsent(name,
						(key) -> new ServiceState(this.options.minAdmittedShare(), nowNanos));
				state.maxGapMillis = maxGapMillis(rules, name);
			}
		}
		if (this.services.isEmpty()) {
			return;
		}
		DemandReport fleet = this.fleetDemand.total(nowNanos);
		this.services
			.forEach((name, state) -> rules.service(name).ifPresent((rule) -> update(rule, state, fleet, nowNanos)));
	}

	// The most lenient target of all routes counts, and none if a route has none;
	// StreamTargets.strictest is the opposite.
	private static long maxGapMillis(RoutingRules rules, String service) {
		List<Long> gaps = rules.routes()
			.stream()
			.filter((route) -> route.targets().stream().anyMatch((target) -> target.service().equals(service)))
			.map(RouteRule::targetEventGapMillis)
			.toList();
		return gaps.contains(0L) ? 0 : gaps.stream().mapToLong(Long::longValue).max().orElse(0);
	}

	private void update(ServiceRule service, ServiceState state, DemandReport fleet, long nowNanos) {
		List<Replica> usable = this.directory.usable(service.name())
			.stream()
			.filter((replica) -> !this.loads.isSilent(replica, nowNanos))
			.toList();
		state.estimate = service.engine()
			.map((profile) -> CapacityEstimate.of(usable, this.loads, profile, state.maxGapMillis, nowNanos));
		int slots = usable.stream().mapToInt(Replica::slots).sum();
		state.capacity.update(referenceCapacity(service, state, slots), nowNanos);
		SortedMap<Integer, PriorityLoad> loadsByPriority = new TreeMap<>();
		int classes = 0;
		for (Map.Entry<DemandClass, ClassLoad> entry : fleet.classes().entrySet()) {
			if (!entry.getKey().service().equals(service.name())) {
				continue;
			}
			double capacity = capacityPerSecond(service, state, entry.getValue(), slots);
			classes++;
			if (capacity > 0) {
				loadsByPriority.put(entry.getKey().priority(), PriorityLoad.of(entry.getValue(), capacity));
			}
		}
		if (classes > 0 && loadsByPriority.isEmpty()) {
			// Without a known capacity the demand cannot be judged.
			state.threshold.suspend();
		}
		else {
			state.threshold.update(loadsByPriority, state.capacity.isSettling(), nowNanos);
		}
		loadsByPriority.keySet()
			.forEach((priority) -> this.fairness.update(new DemandClass(service.name(), priority),
					state.threshold.shares().share(priority), fleet, nowNanos));
		report(service.name(), state, nowNanos);
	}

	// The sizes of requests and the response times change also while nothing is lost.
	private static double referenceCapacity(ServiceRule service, ServiceState state, int slots) {
		return state.estimate
			.map((estimate) -> estimate.requestsPerSecond(service.engine().orElseThrow().typicalPromptTokens(),
					service.engine().orElseThrow().typicalOutputTokens()))
			.orElse((double) slots);
	}

	private double capacityPerSecond(ServiceRule service, ServiceState state, ClassLoad load, int slots) {
		if (state.estimate.isEmpty()) {
			return this.serviceTimes.requestsPerSecond(service.name(), slots);
		}
		EngineProfile profile = service.engine().orElseThrow();
		double requests = Math.max(MIN_REQUESTS_PER_SECOND, load.requestsPerSecond());
		double prompt = (load.promptTokensPerSecond() > 0) ? load.promptTokensPerSecond() / requests
				: profile.typicalPromptTokens();
		double output = (load.outputTokensPerSecond() > 0) ? load.outputTokensPerSecond() / requests
				: profile.typicalOutputTokens();
		// Callers may declare more tokens than engines hold.
		double scale = Math.min(1, state.estimate.get().maxRequestTokens() / Math.max(1, prompt + output));
		return state.estimate.get().requestsPerSecond(scale * prompt, scale * output);
	}

	private void report(String service, ServiceState state, long nowNanos) {
		this.listener.onUpdate(service, state.threshold, Math.max(0, 1 - state.threshold.demand()));
		OptionalInt priority = state.threshold.shares().threshold();
		if (!priority.equals(state.reportedThreshold) && nowNanos - state.reportedNanos >= REPORT_INTERVAL_NANOS) {
			state.reportedNanos = nowNanos;
			state.reportedThreshold = priority;
			this.listener.onThresholdChange(service, state.threshold);
		}
	}

	/**
	 * Decides whether a request is admitted.
	 * @param arrival the request
	 * @param nowNanos the current time of the monotonic clock
	 * @return the decision; a rejection is recorded
	 */
	public AdmissionDecision decide(Arrival arrival, long nowNanos) {
		ServiceState state = this.services.get(arrival.service().name());
		if (state == null || !state.threshold.isClosed() || arrival.isInterrupted()) {
			return new AdmissionDecision.Admitted();
		}
		double share = share(state, arrival, nowNanos);
		DemandClass demandClass = demandClass(arrival);
		ReturningRequests.Kind kind = arrival.requestId()
			.map((id) -> this.returning.kind(arrival.organisation(), id, nowNanos))
			.orElse(ReturningRequests.Kind.NEW);
		if (share < 1 && kind == ReturningRequests.Kind.EARLY) {
			return reject(arrival, share, OptionalDouble.empty(), nowNanos);
		}
		double ownShare = (kind == ReturningRequests.Kind.DUE) ? returningShare(state, arrival, share) : share;
		if (this.fairness.admit(demandClass, arrival.organisation(), ownShare, nowNanos)) {
			arrival.requestId().ifPresent((id) -> this.returning.remove(arrival.organisation(), id));
			return new AdmissionDecision.Admitted();
		}
		OptionalDouble retryAfterSeconds = retryAfterSeconds(arrival, nowNanos, nowNanos);
		return reject(arrival, share, retryAfterSeconds, nowNanos);
	}

	// Requests that return in time are preferred, but not to more urgent ones.
	private static double returningShare(ServiceState state, Arrival arrival, double share) {
		double moreUrgentShare = state.threshold.shares().moreUrgentShare(arrival.priority());
		return Math.max(share, Math.min((1 + share) / 2, moreUrgentShare));
	}

	private double share(ServiceState state, Arrival arrival, long nowNanos) {
		double share = state.threshold.shares().share(arrival.priority());
		if (share >= 1) {
			return 1;
		}
		double fairShare = this.fairness.share(demandClass(arrival), arrival.organisation(), share);
		boolean hasEvidence = state.hasBeenLate && nowNanos - state.lateNanos <= EVIDENCE_NANOS;
		return hasEvidence ? fairShare : Math.max(MIN_SHARE_WITHOUT_EVIDENCE, fairShare);
	}

	private AdmissionDecision reject(Arrival arrival, double share, OptionalDouble retryAfterSeconds, long nowNanos) {
		this.meter.recordRejection(demandClass(arrival), nowNanos);
		retryAfterSeconds.ifPresent((seconds) -> arrival.requestId()
			.ifPresent((id) -> this.returning.record(arrival.organisation(), id,
					nowNanos + (long) (NANOS_PER_SECOND * seconds), nowNanos)));
		this.listener.onRejection(arrival, rank(arrival), false);
		return new AdmissionDecision.Rejected(
				String.format(Locale.ROOT, "load is shed: priority=%d admittedShare=%.2f", arrival.priority(), share),
				retryAfterSeconds);
	}

	/**
	 * Follows a request that has been admitted.
	 * @param arrival the request
	 * @param startNanos the monotonic time at which it came
	 * @return its tracker, empty for services to which the feature does not apply
	 */
	public Optional<RequestTracker> track(Arrival arrival, long startNanos) {
		ServiceState state = this.services.get(arrival.service().name());
		if (state == null) {
			return Optional.empty();
		}
		int promptTokens = (arrival.promptTokens() > 0) ? arrival.promptTokens()
				: arrival.service().engine().map(EngineProfile::typicalPromptTokens).orElse(0);
		Optional<ExpectedResponse> expected = state.estimate
			.flatMap((estimate) -> estimate.expectedResponse(promptTokens, arrival.outputTokens()));
		OptionalDouble expectedMillis = expected.map((response) -> OptionalDouble.of(response.firstEventMillis()))
			.orElse(OptionalDouble.empty());
		double unqueuedMillis = expected.map(ExpectedResponse::unqueuedMillis).orElse(0.0);
		return Optional.of(new RequestTracker(this, arrival, expectedMillis, unqueuedMillis, startNanos));
	}

	/**
	 * Returns the priority of requests at engines. Those of a priority of which only the
	 * minimum share is admitted go with the most urgent priority that is rejected in
	 * part.
	 * @param service the name of their service
	 * @param priority their priority
	 * @return the priority at engines, empty for services to which the feature does not
	 * apply
	 */
	public Optional<EnginePriority> enginePriority(String service, int priority) {
		ServiceState state = this.services.get(service);
		if (state == null) {
			return Optional.empty();
		}
		AdmissionShares shares = state.threshold.shares();
		// Otherwise engines that are full would serve nothing of what is admitted by the
		// minimum share.
		int served = shares.isAtMinimum(priority) ? shares.threshold().orElse(priority) : priority;
		return Optional.of(new EnginePriority(this.priorities.rank(service, served)));
	}

	/**
	 * Returns whether requests are rejected for load.
	 * @param service the name of their service
	 * @return false while everything is admitted
	 */
	public boolean isClosed(String service) {
		ServiceState state = this.services.get(service);
		return state != null && state.threshold.isClosed();
	}

	/**
	 * Returns whether requests wait no longer than they can still be served in time.
	 * @param service the name of their service
	 * @return true while load is shed, and while capacity is lost
	 */
	boolean isWaitLimited(String service) {
		ServiceState state = this.services.get(service);
		return state != null && (state.threshold.isClosed() || state.capacity.isNone() || state.capacity.isSettling());
	}

	/**
	 * Returns whether a late request tells of lost capacity instead of too much demand.
	 * @param service the name of its service
	 * @param startNanos the time at which it came
	 * @return true if the capacity has changed since then or shortly before, or there is
	 * none
	 */
	boolean isLateByLoss(String service, long startNanos) {
		ServiceState state = this.services.get(service);
		return state != null && state.capacity.explainsLate(startNanos);
	}

	/**
	 * Returns for how many output tokens memory is reserved.
	 * @param service the name of the service
	 * @param route the name of the route
	 * @param expectedTokens the caller's estimate
	 * @param maxTokens the maximum length of the response
	 * @return the estimate while everything is admitted; otherwise the length that few
	 * responses exceed, since engines out of memory preempt requests
	 */
	public int reservedTokens(String service, String route, int expectedTokens, int maxTokens) {
		if (!isClosed(service)) {
			return expectedTokens;
		}
		double ratio = Math.max(1, this.outputLengths.ratio(route, RESERVED_QUANTILE));
		return (int) Math.max(expectedTokens, Math.min(maxTokens, ratio * expectedTokens));
	}

	void recordOutcome(Arrival arrival, boolean isOnTime, long nowNanos) {
		this.meter.recordOutcome(demandClass(arrival), isOnTime, nowNanos);
		ServiceState state = this.services.get(arrival.service().name());
		if (!isOnTime && state != null) {
			state.hasBeenLate = true;
			state.lateNanos = nowNanos;
		}
	}

	void recordBegin(Arrival arrival, long nowNanos) {
		this.meter.recordBegin(demandClass(arrival), nowNanos);
	}

	void recordRejectionAfterWait(Arrival arrival) {
		this.listener.onRejection(arrival, rank(arrival), true);
	}

	void recordResponseTime(Arrival arrival, double elapsedMillis, OptionalDouble expectedMillis) {
		if (arrival.service().engine().isEmpty()) {
			this.serviceTimes.record(arrival.service().name(), elapsedMillis);
		}
		expectedMillis.ifPresent((expected) -> this.listener.onEstimateChecked(elapsedMillis / Math.max(1, expected)));
	}

	void recordLength(Arrival arrival, int tokens) {
		this.outputLengths.record(arrival.route().name(), arrival.outputTokens(), tokens);
	}

	OptionalDouble retryAfterSeconds(Arrival arrival, long startNanos, long nowNanos) {
		ServiceState state = this.services.get(arrival.service().name());
		if (state == null) {
			return OptionalDouble.empty();
		}
		long waitedMillis = (long) ((nowNanos - startNanos) / NANOS_PER_MILLI);
		boolean isRepeated = arrival.requestId()
			.filter((id) -> this.returning.kind(arrival.organisation(), id, nowNanos) != ReturningRequests.Kind.NEW)
			.isPresent();
		RetryTime.RejectedRequest rejected = new RetryTime.RejectedRequest(arrival.callerTimeoutMillis() - waitedMillis,
				rank(arrival), this.priorities.count(arrival.service().name()), isRepeated);
		return RetryTime.seconds(rejected, state.threshold.shares().share(arrival.priority()),
				state.threshold.isEasing(), this.random.nextDouble());
	}

	private int rank(Arrival arrival) {
		return this.priorities.rank(arrival.service().name(), arrival.priority());
	}

	private static DemandClass demandClass(Arrival arrival) {
		return new DemandClass(arrival.service().name(), arrival.priority());
	}

	private static final class ServiceState {

		private final AdmissionThreshold threshold;

		private final CapacityChanges capacity = new CapacityChanges();

		private Optional<CapacityEstimate> estimate = Optional.empty();

		private long maxGapMillis;

		/** Whether a request of this VM has been late, and when the last one was. */
		private boolean hasBeenLate;

		private long lateNanos;

		private OptionalInt reportedThreshold = OptionalInt.empty();

		private long reportedNanos;

		private ServiceState(double minShare, long nowNanos) {
			this.reportedNanos = nowNanos - REPORT_INTERVAL_NANOS;
			this.threshold = new AdmissionThreshold(minShare);
		}

	}

}
