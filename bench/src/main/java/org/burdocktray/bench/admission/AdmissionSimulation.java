package org.burdocktray.bench.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;

import org.burdocktray.process.limits.AdmissionAction;
import org.burdocktray.process.limits.AdmissionTicket;
import org.burdocktray.process.limits.SlotLoanMessage;

/**
 * Simulates entry VMs in front of one pool of engines in virtual time. Arrivals are open
 * loop: they do not depend on responses. A load balancer distributes them at random over
 * the VMs. The engines run a fixed number of streams at a constant token rate and queue
 * the others in FIFO order. Invariant: the same scenario gives the same result. Thread
 * safety: confined to one thread; an instance runs once.
 */
final class AdmissionSimulation {

	private static final long TICK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

	private static final long MESSAGE_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

	private static final int MAX_TOKENS = 2000;

	private final Scenario scenario;

	private final SplittableRandom random;

	private final List<VmAdmission> vms = new ArrayList<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::timeNanos).thenComparingLong(Event::sequence));

	private final Map<AdmissionTicket, SimulatedRequest> requests = new IdentityHashMap<>();

	private final Deque<SimulatedRequest> engineQueue = new ArrayDeque<>();

	private final AdmissionStatistics statistics = new AdmissionStatistics();

	private final long measureStartNanos;

	private final long measureEndNanos;

	private int runningStreams;

	private long nextSequence;

	private long nowNanos;

	AdmissionSimulation(Scenario scenario, IntFunction<VmAdmission> admission) {
		this.scenario = scenario;
		this.random = new SplittableRandom(scenario.seed());
		for (int vm = 0; vm < scenario.vms(); vm++) {
			this.vms.add(admission.apply(vm));
		}
		this.measureStartNanos = AdmissionStatistics.secondsToNanos(scenario.warmUpSeconds());
		this.measureEndNanos = this.measureStartNanos + AdmissionStatistics.secondsToNanos(scenario.measuredSeconds());
	}

	AdmissionResult run() {
		this.scenario.organisations().forEach(this::scheduleArrival);
		schedule(TICK_INTERVAL_NANOS, this::tick);
		while (!this.events.isEmpty() && this.events.peek().timeNanos() < this.measureEndNanos) {
			Event event = this.events.poll();
			this.nowNanos = event.timeNanos();
			event.action().run();
		}
		return this.statistics.toResult(this.scenario);
	}

	private void scheduleArrival(Scenario.OrganisationLoad load) {
		double intervalSeconds = exponential(1 / load.requestsPerSecond());
		schedule(this.nowNanos + AdmissionStatistics.secondsToNanos(intervalSeconds), () -> arrive(load));
	}

	private void arrive(Scenario.OrganisationLoad load) {
		scheduleArrival(load);
		int tokens = (int) Math.min(MAX_TOKENS, 1 + exponential(Scenario.MEAN_TOKENS));
		long deadlineNanos = this.nowNanos + TimeUnit.MILLISECONDS.toNanos(Scenario.DEADLINE_MILLIS);
		AdmissionTicket ticket = new AdmissionTicket(load.name(), 1, 0, deadlineNanos);
		int vm = this.random.nextInt(this.vms.size());
		SimulatedRequest request = new SimulatedRequest(ticket, vm, tokens, this.nowNanos);
		this.requests.put(ticket, request);
		if (isMeasured(this.nowNanos)) {
			this.statistics.recordArrival(load.name(), tokens);
		}
		perform(this.vms.get(vm).request(ticket, this.nowNanos));
		this.vms.get(vm).requestSlots(this.nowNanos).forEach((outgoing) -> send(vm, outgoing));
	}

	private void perform(List<AdmissionAction> actions) {
		for (AdmissionAction action : actions) {
			if (action instanceof AdmissionAction.Refuse) {
				refuse(this.requests.remove(action.ticket()));
				continue;
			}
			dispatch(this.requests.remove(action.ticket()));
		}
	}

	private void refuse(SimulatedRequest request) {
		if (isMeasured(request.arrivedNanos)) {
			this.statistics.recordRefusal(this.nowNanos - request.arrivedNanos);
		}
	}

	private void dispatch(SimulatedRequest request) {
		request.admittedNanos = this.nowNanos;
		if (this.runningStreams < this.scenario.fleetSlots()) {
			start(request);
			return;
		}
		this.engineQueue.add(request);
	}

	private void start(SimulatedRequest request) {
		this.runningStreams++;
		if (isMeasured(request.arrivedNanos)) {
			this.statistics.recordStart(this.nowNanos - request.arrivedNanos);
		}
		long firstTokenNanos = this.nowNanos + TimeUnit.MILLISECONDS.toNanos(Scenario.FIRST_TOKEN_MILLIS);
		boolean metDeadline = firstTokenNanos <= request.ticket.deadlineNanos();
		if (metDeadline && isMeasured(request.arrivedNanos)) {
			this.statistics.recordStartedInTime(request.ticket.organisation(), request.tokens);
		}
		double tokensPerSecond = Scenario.TOKENS_PER_SECOND_PER_STREAM * this.scenario.engineSpeed();
		long endNanos = firstTokenNanos + AdmissionStatistics.secondsToNanos(request.tokens / tokensPerSecond);
		schedule(endNanos, () -> complete(request, metDeadline));
	}

	private void complete(SimulatedRequest request, boolean metDeadline) {
		this.runningStreams--;
		if (metDeadline && isMeasured(this.nowNanos)) {
			this.statistics.recordCompletedInTime(request.tokens);
		}
		if (!this.engineQueue.isEmpty()) {
			start(this.engineQueue.poll());
		}
		perform(this.vms.get(request.vm).release(request.ticket, this.nowNanos - request.admittedNanos, this.nowNanos));
	}

	private void tick() {
		for (int vm = 0; vm < this.vms.size(); vm++) {
			perform(this.vms.get(vm).tick(this.nowNanos));
			int sender = vm;
			this.vms.get(vm).returnSlots(this.nowNanos).forEach((outgoing) -> send(sender, outgoing));
			this.vms.get(vm).requestSlots(this.nowNanos).forEach((outgoing) -> send(sender, outgoing));
		}
		schedule(this.nowNanos + TICK_INTERVAL_NANOS, this::tick);
	}

	private void send(int sender, SlotLoanMessage.Outgoing outgoing) {
		this.statistics.recordMessage();
		schedule(this.nowNanos + MESSAGE_DELAY_NANOS, () -> {
			int receiver = Integer.parseInt(outgoing.peer());
			VmAdmission.LoanMessageResult result = this.vms.get(receiver)
				.receive(String.valueOf(sender), outgoing.message(), this.nowNanos);
			perform(result.actions());
			result.reply()
				.ifPresent((reply) -> send(receiver, new SlotLoanMessage.Outgoing(String.valueOf(sender), reply)));
		});
	}

	private boolean isMeasured(long timeNanos) {
		return timeNanos >= this.measureStartNanos && timeNanos < this.measureEndNanos;
	}

	private double exponential(double mean) {
		return -mean * Math.log(1 - this.random.nextDouble());
	}

	private void schedule(long timeNanos, Runnable action) {
		this.events.add(new Event(timeNanos, this.nextSequence++, action));
	}

	private record Event(long timeNanos, long sequence, Runnable action) {

	}

	/** A request in progress. */
	private static final class SimulatedRequest {

		private final AdmissionTicket ticket;

		private final int vm;

		private final int tokens;

		private final long arrivedNanos;

		private long admittedNanos;

		private SimulatedRequest(AdmissionTicket ticket, int vm, int tokens, long arrivedNanos) {
			this.ticket = ticket;
			this.vm = vm;
			this.tokens = tokens;
			this.arrivedNanos = arrivedNanos;
		}

	}

}
