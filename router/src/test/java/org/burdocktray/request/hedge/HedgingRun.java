package org.burdocktray.request.hedge;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.LongToDoubleFunction;
import java.util.stream.IntStream;

import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.process.directory.ReplicaLoads;
import org.burdocktray.process.limits.FleetRetryBudget;
import org.burdocktray.process.settings.GatewayOptions.HedgingOptions;

/**
 * Three plain replicas with six slots in virtual time, and VMs that send seeded arrivals
 * to the one with the least requests of their own. Thread safety: none.
 */
final class HedgingRun {

	static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

	static final long WINDOW_NANOS = 10 * SECOND_NANOS;

	private static final int SLOTS = 6;

	private static final HedgeClass CALLS = new HedgeClass("calls", "s", 0);

	private final Random random;

	private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::atNanos));

	private final List<FakeReplica> replicas = IntStream.range(0, 3).mapToObj(FakeReplica::new).toList();

	private final List<Vm> vms;

	private final long seed;

	private final Work work;

	final List<Long> arrivals = new ArrayList<>();

	final List<Long> hedges = new ArrayList<>();

	final List<Long> latencies = new ArrayList<>();

	private long nowNanos;

	/**
	 * Creates a run.
	 * @param seed the seed of arrivals and response times
	 * @param share the limit of hedged runs per request
	 * @param hedgingVms the VMs that hedge
	 * @param olderVms the VMs of a build that does not
	 * @param work how long replicas work on a request
	 */
	HedgingRun(long seed, double share, int hedgingVms, int olderVms, Work work) {
		this.random = new Random(seed);
		this.seed = seed;
		this.work = work;
		this.vms = IntStream.range(0, hedgingVms + olderVms)
			.mapToObj((index) -> new Vm((index < hedgingVms) ? share : 0))
			.toList();
	}

	/**
	 * Runs arrivals.
	 * @param seconds for how long they come
	 * @param ratePerSecond their rate by time
	 * @return this run
	 */
	HedgingRun play(int seconds, LongToDoubleFunction ratePerSecond) {
		while (this.nowNanos < seconds * SECOND_NANOS) {
			double gapSeconds = -Math.log(1 - this.random.nextDouble()) / ratePerSecond.applyAsDouble(this.nowNanos);
			long nextNanos = this.nowNanos + Math.max(1, (long) (gapSeconds * SECOND_NANOS));
			runEventsUntil(nextNanos);
			this.vms.get(this.random.nextInt(this.vms.size())).receive();
		}
		runEventsUntil(Long.MAX_VALUE);
		return this;
	}

	double p99Millis() {
		List<Long> sorted = this.latencies.stream().sorted().toList();
		return sorted.get((int) Math.ceil(0.99 * sorted.size()) - 1) / 1e6;
	}

	private void runEventsUntil(long untilNanos) {
		while (!this.events.isEmpty() && this.events.peek().atNanos() <= untilNanos) {
			Event next = this.events.poll();
			this.nowNanos = next.atNanos();
			next.action().run();
		}
		this.nowNanos = (untilNanos == Long.MAX_VALUE) ? this.nowNanos : untilNanos;
	}

	private void after(long delayNanos, Runnable action) {
		this.events.add(new Event(this.nowNanos + delayNanos, action));
	}

	private record Event(long atNanos, Runnable action) {

	}

	/** How long replicas work. */
	@FunctionalInterface
	interface Work {

		/**
		 * Returns how long a replica works on a request.
		 * @param replica the index of the replica
		 * @param nowNanos the time
		 * @param draws the source of randomness of this run
		 * @return the mean in milliseconds
		 */
		double millis(int replica, long nowNanos, Random draws);

	}

	/** A run of a request at a replica. */
	private final class Run {

		private final FakeReplica replica;

		private final Runnable onResponse;

		private final Random draws;

		private boolean started;

		private boolean ended;

		Run(FakeReplica replica, Random draws, Runnable onResponse) {
			this.replica = replica;
			this.draws = draws;
			this.onResponse = onResponse;
		}

		private void start() {
			this.started = true;
			double millis = HedgingRun.this.work.millis(this.replica.index, HedgingRun.this.nowNanos, this.draws)
					* (0.7 + 0.6 * this.draws.nextDouble());
			after((long) (millis * 1e6), () -> end(true));
		}

		private void end(boolean hasResponded) {
			if (this.ended) {
				return;
			}
			this.ended = true;
			if (this.started) {
				this.replica.busy--;
				this.replica.startNext();
			}
			if (hasResponded) {
				this.onResponse.run();
			}
		}

	}

	private final class FakeReplica {

		private final int index;

		private final Replica entry;

		private final Deque<Run> queue = new ArrayDeque<>();

		private int busy;

		FakeReplica(int index) {
			this.index = index;
			this.entry = new Replica("replica-" + index, 1, "s", new NetworkAddress("127.0.0.1", 1 + index),
					new DataCentre("ghent"), SLOTS, false, Optional.empty(), Optional.empty());
		}

		private void add(Run run) {
			this.queue.addLast(run);
			startNext();
		}

		private void startNext() {
			while (this.busy < SLOTS && !this.queue.isEmpty()) {
				Run next = this.queue.removeFirst();
				if (!next.ended) {
					this.busy++;
					next.start();
				}
			}
		}

	}

	private final class Vm {

		private final ReplicaLoads loads = new ReplicaLoads();

		private final FleetRetryBudget budget = new FleetRetryBudget(0.3, 0, WINDOW_NANOS, 0);

		private final HedgePolicy policy;

		Vm(double share) {
			this.policy = new HedgePolicy(new HedgingOptions(share, 0, 0.95, 50), WINDOW_NANOS, this.budget,
					new KnownLoadCapacity(this.loads, () -> false));
		}

		private void receive() {
			long startNanos = HedgingRun.this.nowNanos;
			HedgingRun.this.arrivals.add(startNanos);
			this.budget.recordFirstAttempt("s", startNanos);
			this.policy.recordRequest("s", "acme", startNanos);
			Call call = new Call(startNanos, HedgingRun.this.arrivals.size());
			OptionalLong delayNanos = this.policy.recordStart(CALLS, startNanos);
			call.send(select(Optional.empty(), call.draws));
			delayNanos.ifPresent((nanos) -> after(nanos, call::hedge));
		}

		private FakeReplica select(Optional<FakeReplica> other, Random draws) {
			return HedgingRun.this.replicas.stream()
				.filter((replica) -> other.isEmpty() || replica != other.get())
				.map((replica) -> new Scored(replica,
						this.loads.inFlight(replica.entry) / (double) SLOTS + 0.1 * draws.nextDouble()))
				.min(Comparator.comparingDouble(Scored::score))
				.orElseThrow()
				.replica();
		}

		private record Scored(FakeReplica replica, double score) {

		}

		private final class Call {

			private final long startNanos;

			private final List<Run> runs = new ArrayList<>();

			/** The first run draws the same whether the request is hedged or not. */
			private final Random draws;

			private boolean answered;

			Call(long startNanos, int index) {
				this.startNanos = startNanos;
				this.draws = new Random(31L * HedgingRun.this.seed + index);
			}

			private void send(FakeReplica replica) {
				Vm.this.loads.recordSend(replica.entry, 0, HedgingRun.this.nowNanos);
				Run run = new Run(replica, new Random(this.draws.nextLong()), this::onResponse);
				this.runs.add(run);
				replica.add(run);
			}

			private void hedge() {
				long now = HedgingRun.this.nowNanos;
				HedgeCandidate candidate = new HedgeCandidate("s", "acme", true, this.answered, false, true, false,
						true);
				if (this.answered || Vm.this.policy.findObstacle(candidate, now).isPresent()) {
					return;
				}
				FakeReplica target = select(Optional.of(this.runs.get(0).replica), this.draws);
				if (Vm.this.policy.hasCapacity("s", List.of(target.entry)) && Vm.this.budget.tryAcquireRetry("s", now)
						&& Vm.this.policy.tryAcquireRun(candidate, now)) {
					HedgingRun.this.hedges.add(now);
					send(target);
				}
			}

			private void onResponse() {
				this.answered = true;
				long elapsedNanos = HedgingRun.this.nowNanos - this.startNanos;
				HedgingRun.this.latencies.add(elapsedNanos);
				Vm.this.policy.recordFirstEvent(CALLS, elapsedNanos, HedgingRun.this.nowNanos);
				this.runs.forEach((run) -> {
					run.end(false);
					Vm.this.loads.recordEnd(run.replica.entry, 0);
				});
			}

		}

	}

}
