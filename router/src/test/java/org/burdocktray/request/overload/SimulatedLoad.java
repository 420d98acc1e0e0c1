package org.burdocktray.request.overload;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.burdocktray.model.DataCentre;
import org.burdocktray.process.demand.DataCentreDemand;
import org.burdocktray.process.demand.DemandClass;
import org.burdocktray.process.demand.DemandMeter;
import org.burdocktray.process.demand.DemandReport;
import org.burdocktray.process.demand.FleetDemand;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.process.directory.ReplicaDirectory;
import org.burdocktray.process.directory.ReplicaLoads;
import org.burdocktray.process.directory.TestReplicas;
import org.burdocktray.process.overload.AdmissionThreshold;
import org.burdocktray.process.overload.CapacityEstimate;
import org.burdocktray.process.settings.GatewayOptions.Activation;
import org.burdocktray.process.settings.GatewayOptions.OverloadOptions;
import org.burdocktray.version.rules.CallerLimits;
import org.burdocktray.version.rules.RequestKind;
import org.burdocktray.version.rules.RouteRule;
import org.burdocktray.version.rules.RoutingRules;
import org.burdocktray.version.rules.ServiceRule;
import org.burdocktray.version.rules.WeightedService;

/**
 * VMs with one {@link OverloadControl} each before engines that read one prompt after the
 * other, the most urgent first. Time passes in steps of 10 ms. Arrivals come from a seed.
 */
final class SimulatedLoad implements OverloadListener {

	static final int PRIORITIES = 3;

	static final long TARGET_MILLIS = 500;

	private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

	private static final long CALLER_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);

	private static final int PROMPT_TOKENS = 500;

	private static final int OUTPUT_TOKENS = 200;

	private static final List<Replica> ENGINES = IntStream.range(0, 8)
		.mapToObj((index) -> TestReplicas.engine("e" + index, "ghent", "fast", 5 * (index % 2), 5 + 5 * (index % 2)))
		.toList();

	private static final ServiceRule SERVICE = new ServiceRule("s", "/health", 8, Optional.of(TestReplicas.PROFILE));

	private static final int PATHS = 4;

	/** How long VMs send to engines that have crashed. */
	private static final long DETECTION_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	static final double ESTIMATED_RATE = estimatedRate(PROMPT_TOKENS);

	private final SplittableRandom random;

	private final List<Vm> vms = new ArrayList<>();

	private final Deque<DemandReport> sums = new ArrayDeque<>();

	private final PriorityQueue<Request> queue = new PriorityQueue<>(
			Comparator.comparingInt((Request request) -> request.engineOrder)
				.thenComparing((Request request) -> request.isLateAgain)
				.thenComparingLong(Request::startNanos));

	private final PriorityQueue<Request> returns = new PriorityQueue<>(
			Comparator.comparingLong((Request request) -> request.returnNanos));

	private final RoutingRules rules;

	/** The requests a second that engines begin in fact. */
	double realRate = ESTIMATED_RATE;

	/** The age of the reports that VMs have of each other. */
	long reportAgeMillis = 500;

	boolean reportsAreLost;

	int promptTokens = PROMPT_TOKENS;

	/** Whether load is shed; without, everything is admitted in the order of arrival. */
	boolean isShedding = true;

	double disobedientShare;

	/** The part of the requests that arrive at the first VM, 0 for an equal part. */
	double firstVmShare;

	/** The part of the requests of the least urgent priority from one organisation. */
	double largeOrganisationShare;

	int thresholdChanges;

	int rejections;

	int lateRejections;

	int repeats;

	private long nowNanos;

	private double readable;

	private int paths = PATHS;

	private int knownPaths = PATHS;

	private long lossNanos;

	/** Requests at engines that have crashed, until that is detected. */
	private final List<Request> stalled = new ArrayList<>();

	/** The work that engines could do in each step. */
	private final List<Double> capacities = new ArrayList<>();

	final List<Request> requests = new ArrayList<>();

	SimulatedLoad(int vmCount, long seed) {
		this.random = new SplittableRandom(seed);
		List<RouteRule> routes = IntStream.range(0, PRIORITIES)
			.mapToObj((priority) -> new RouteRule("r" + priority, "h", "/" + priority + "/", RequestKind.STREAMING,
					true, 20_000, TARGET_MILLIS, 250, priority, 2, true, List.of(new WeightedService("s", 1))))
			.toList();
		this.rules = new RoutingRules(1, routes, Map.of("s", SERVICE), false, Map.of(),
				new CallerLimits(8_192, 1_000, 1_000, 1_000));
		IntStream.range(0, vmCount).forEach((index) -> this.vms.add(new Vm(vmCount)));
	}

	/**
	 * Returns what the control takes for the capacity.
	 * @param promptTokens the length of prompts
	 * @return requests a second
	 */
	static double estimatedRate(int promptTokens) {
		return CapacityEstimate.of(ENGINES, new ReplicaLoads(), TestReplicas.PROFILE, 250, 0)
			.requestsPerSecond(promptTokens, OUTPUT_TOKENS);
	}

	/** Replaces a VM by one that has no state. */
	void restartFirstVm() {
		this.vms.set(0, new Vm(this.vms.size()));
	}

	/**
	 * Loses engines that hold the first layers, or takes them back. A loss is detected
	 * late, a return at once.
	 * @param count the number of paths that hold all layers
	 */
	void usePaths(int count) {
		this.paths = count;
		this.lossNanos = this.nowNanos;
		if (count >= this.knownPaths) {
			detectPaths();
		}
	}

	private void detectPaths() {
		this.knownPaths = this.paths;
		List<Replica> usable = IntStream.range(0, ENGINES.size())
			.filter((index) -> index % 2 == 1 || index < 2 * this.paths)
			.mapToObj(ENGINES::get)
			.toList();
		this.vms.forEach((vm) -> vm.directory.replaceAll(usable, this.nowNanos));
		this.stalled.forEach((request) -> request.isLateAgain = this.nowNanos
				- request.offeredNanos > TimeUnit.MILLISECONDS.toNanos(TARGET_MILLIS));
		this.queue.addAll(this.stalled);
		this.stalled.clear();
	}

	/**
	 * Lets time pass.
	 * @param seconds how long
	 * @param rates the requests a second of each priority
	 */
	void run(double seconds, double... rates) {
		double total = IntStream.range(0, rates.length).mapToDouble((index) -> rates[index]).sum();
		long endNanos = this.nowNanos + (long) (1e9 * seconds);
		while (this.nowNanos < endNanos) {
			this.nowNanos += STEP_NANOS;
			double expected = total * STEP_NANOS / 1e9;
			for (int count = poisson(expected); count > 0; count--) {
				arrive(new Request(draw(rates, total), this.requests.size()));
			}
			while (!this.returns.isEmpty() && this.returns.peek().returnNanos <= this.nowNanos) {
				this.repeats++;
				offer(this.returns.poll());
			}
			if (this.knownPaths > this.paths && this.nowNanos - this.lossNanos >= DETECTION_NANOS) {
				detectPaths();
			}
			serve();
			if (this.nowNanos % TimeUnit.MILLISECONDS.toNanos(250) == 0) {
				exchange();
				this.vms.forEach((vm) -> vm.control.update(this.rules, this.nowNanos));
			}
		}
	}

	private void arrive(Request request) {
		request.startNanos = this.nowNanos;
		this.requests.add(request);
		offer(request);
	}

	private void offer(Request request) {
		boolean isFirst = this.firstVmShare > 0 && this.random.nextDouble() < this.firstVmShare;
		Vm vm = this.vms.get(isFirst ? 0 : this.random.nextInt(this.vms.size()));
		String organisation = (request.priority == PRIORITIES - 1
				&& request.id % 1_000 < 1_000 * this.largeOrganisationShare) ? "large" : "o" + request.id % 7;
		request.organisation = organisation;
		request.offeredNanos = this.nowNanos;
		long leftMillis = TimeUnit.NANOSECONDS.toMillis(CALLER_TIMEOUT_NANOS - (this.nowNanos - request.startNanos));
		Arrival arrival = new Arrival(Optional.of("q" + request.id),
				this.rules.routes()
					.stream()
					.filter((route) -> route.priority() == request.priority)
					.findFirst()
					.orElseThrow(),
				SERVICE, organisation, request.priority, false, this.promptTokens, OUTPUT_TOKENS, leftMillis);
		vm.meter.recordArrival(new DemandClass("s", request.priority), organisation, this.promptTokens, OUTPUT_TOKENS,
				this.nowNanos);
		AdmissionDecision decision = this.isShedding ? vm.control.decide(arrival, this.nowNanos)
				: new AdmissionDecision.Admitted();
		if (decision instanceof AdmissionDecision.Rejected rejected) {
			reject(request, rejected);
			return;
		}
		request.tracker = vm.control.track(arrival, this.nowNanos);
		EnginePriority unshed = new EnginePriority(request.priority);
		request.engineOrder = this.isShedding
				? vm.control.enginePriority("s", request.priority).orElse(unshed).value(false) : 0;
		this.queue.add(request);
	}

	private void reject(Request request, AdmissionDecision.Rejected rejected) {
		if (request.hasReturned) {
			return;
		}
		request.hasReturned = true;
		boolean obeys = this.random.nextDouble() >= this.disobedientShare;
		if (obeys && rejected.retryAfterSeconds().isEmpty()) {
			return;
		}
		double seconds = obeys ? rejected.retryAfterSeconds().getAsDouble() : 0.02;
		request.returnNanos = this.nowNanos + (long) (1e9 * seconds);
		this.returns.add(request);
	}

	private void serve() {
		double work = this.realRate * STEP_NANOS / 1e9;
		this.capacities.add(work * this.paths / PATHS);
		// Until a loss is detected, engines that have crashed are sent their share.
		this.readable = Math.min(this.readable + work * this.knownPaths / PATHS, 2 + 2 * work);
		this.queue.removeIf((request) -> this.nowNanos - request.startNanos > CALLER_TIMEOUT_NANOS);
		this.queue.stream().filter(this::hasWaitedTooLong).toList().forEach(this::giveUp);
		while (this.readable >= 1 && !this.queue.isEmpty()) {
			this.readable--;
			Request request = this.queue.poll();
			if (this.paths < this.knownPaths && this.random.nextInt(this.knownPaths) >= this.paths) {
				request.tracker.ifPresent(RequestTracker::recordSend);
				this.stalled.add(request);
				continue;
			}
			request.isUseful = this.nowNanos - request.offeredNanos <= TimeUnit.MILLISECONDS.toNanos(TARGET_MILLIS);
			request.isServed = true;
			request.tracker.ifPresent((tracker) -> tracker.recordFirstEvent(this.nowNanos));
		}
		Stream.concat(this.queue.stream(), this.stalled.stream())
			.flatMap((request) -> request.tracker.stream())
			.forEach((tracker) -> tracker.check(this.nowNanos));
		if (this.knownPaths == 0) {
			this.queue
				.forEach((request) -> request.tracker.ifPresent((tracker) -> tracker.recordBlocked(this.nowNanos)));
		}
	}

	private boolean hasWaitedTooLong(Request request) {
		OptionalLong maxWaitNanos = request.tracker.map(RequestTracker::maxWaitNanos).orElse(OptionalLong.empty());
		return this.isShedding && maxWaitNanos.isPresent()
				&& this.nowNanos - request.offeredNanos > maxWaitNanos.getAsLong();
	}

	private void giveUp(Request request) {
		this.queue.remove(request);
		RequestTracker tracker = request.tracker.orElseThrow();
		OptionalDouble retryAfterSeconds = tracker.retryAfterSeconds(this.nowNanos);
		tracker.recordGivenUp(this.nowNanos);
		this.lateRejections++;
		reject(request, new AdmissionDecision.Rejected("", retryAfterSeconds));
	}

	private void exchange() {
		this.sums.addLast(this.vms.stream()
			.map((vm) -> vm.meter.report(this.nowNanos))
			.reduce(DemandReport.NONE, DemandReport::plus));
		while (this.sums.size() > 1 + this.reportAgeMillis / 250) {
			this.sums.removeFirst();
		}
	}

	private int poisson(double mean) {
		double product = this.random.nextDouble();
		int count = 0;
		while (product > Math.exp(-mean)) {
			product *= this.random.nextDouble();
			count++;
		}
		return count;
	}

	private int draw(double[] rates, double total) {
		double remaining = total * this.random.nextDouble();
		int priority = 0;
		while (priority < rates.length - 1 && remaining >= rates[priority]) {
			remaining -= rates[priority];
			priority++;
		}
		return priority;
	}

	/**
	 * Returns the share of requests that got a first event in time.
	 * @param priority their priority
	 * @param fromSeconds the begin of the time in which they arrived
	 * @param toSeconds its end
	 * @return the share, 1 if there are none
	 */
	double usefulShare(int priority, double fromSeconds, double toSeconds) {
		return share(arrived(fromSeconds, toSeconds).filter((request) -> request.priority == priority)
			.collect(Collectors.toList()));
	}

	double usefulShareOf(boolean isLargeOrganisation, double fromSeconds, double toSeconds) {
		return share(arrived(fromSeconds, toSeconds).filter((request) -> request.priority == PRIORITIES - 1)
			.filter((request) -> request.organisation.equals("large") == isLargeOrganisation)
			.collect(Collectors.toList()));
	}

	/**
	 * Returns the rate of requests that got a first event in time.
	 * @param fromSeconds the begin of the time in which they arrived
	 * @param toSeconds its end
	 * @return requests a second, as a part of what the engines can begin
	 */
	double usefulRate(double fromSeconds, double toSeconds) {
		return arrived(fromSeconds, toSeconds).filter((request) -> request.isUseful).count()
				/ ((toSeconds - fromSeconds) * this.realRate);
	}

	long usefulCount() {
		return this.requests.stream().filter((request) -> request.isUseful).count();
	}

	/**
	 * Returns how many requests could be served in time if it were known on arrival which
	 * of them can be.
	 * @return the number
	 */
	long servableCount() {
		Deque<Request> waiting = new ArrayDeque<>();
		int next = 0;
		long count = 0;
		double work = 0;
		for (int step = 0; step < this.capacities.size(); step++) {
			long stepNanos = (step + 1) * STEP_NANOS;
			while (next < this.requests.size() && this.requests.get(next).startNanos <= stepNanos) {
				waiting.add(this.requests.get(next++));
			}
			waiting
				.removeIf((request) -> stepNanos - request.startNanos > TimeUnit.MILLISECONDS.toNanos(TARGET_MILLIS));
			work = Math.min(work + this.capacities.get(step), 2 + 2 * this.capacities.get(step));
			for (; work >= 1 && !waiting.isEmpty(); work--) {
				waiting.poll();
				count++;
			}
		}
		return count;
	}

	private Stream<Request> arrived(double fromSeconds, double toSeconds) {
		return this.requests.stream()
			.filter((request) -> request.startNanos >= 1e9 * fromSeconds && request.startNanos < 1e9 * toSeconds);
	}

	private static double share(List<Request> some) {
		return some.isEmpty() ? 1 : some.stream().filter((request) -> request.isUseful).count() / (double) some.size();
	}

	@Override
	public void onThresholdChange(String service, AdmissionThreshold threshold) {
		this.thresholdChanges++;
	}

	@Override
	public void onUpdate(String service, AdmissionThreshold threshold, double availableShare) {
		// Only changes count here.
	}

	@Override
	public void onRejection(Arrival arrival, int rank, boolean hasWaited) {
		this.rejections++;
	}

	@Override
	public void onEstimateChecked(double ratio) {
		// The engines of this test do not follow the estimate.
	}

	private final class Vm {

		private final DemandMeter meter = new DemandMeter();

		private final ReplicaDirectory directory = new ReplicaDirectory(0);

		private final OverloadControl control;

		private Vm(int vmCount) {
			this.directory.replaceAll(ENGINES, 0);
			FleetDemand demand = (nowNanos) -> {
				DemandReport total = (SimulatedLoad.this.reportsAreLost || SimulatedLoad.this.sums.isEmpty())
						? this.meter.report(nowNanos).times(vmCount) : SimulatedLoad.this.sums.peekFirst();
				return List.of(new DataCentreDemand(new DataCentre("ghent"), vmCount, total, nowNanos));
			};
			this.control = new OverloadControl(new OverloadOptions(Activation.AUTO, 0.05), this.meter, demand,
					this.directory, new ReplicaLoads(), SimulatedLoad.this.random.split(), SimulatedLoad.this);
		}

	}

	/**
	 * A request of a caller that returns once at most.
	 */
	static final class Request {

		private final int priority;

		private final int id;

		private String organisation = "";

		private long startNanos;

		private long offeredNanos;

		private long returnNanos;

		private boolean hasReturned;

		private int engineOrder;

		private boolean isServed;

		/** Whether it came back late from an engine that has crashed. */
		private boolean isLateAgain;

		private boolean isUseful;

		private Optional<RequestTracker> tracker = Optional.empty();

		private Request(int priority, int id) {
			this.priority = priority;
			this.id = id;
		}

		private long startNanos() {
			return this.startNanos;
		}

	}

}
