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
 * Entry VMs before one pool of engines in virtual time. Arrivals do not wait for answers;
 * a balancer spreads them at random; the engines run a fixed number of streams at a
 * steady pace and queue the others, first come first served. Invariant: the same scenario
 * gives the same figures. Thread safety: confined to one thread; used once.
 */
final class AdmissionSimulation {

	private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

	private static final long MESSAGE_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

	private static final int MAX_TOKENS = 2000;

	private final Scenario scenario;

	private final SplittableRandom random;

	private final List<VmAdmission> vms = new ArrayList<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::timeNanos).thenComparingLong(Event::number));

	private final Map<AdmissionTicket, SimulatedRequest> requests = new IdentityHashMap<>();

	private final Deque<SimulatedRequest> engineQueue = new ArrayDeque<>();

	private final AdmissionStatistics counts = new AdmissionStatistics();

	private final long fromNanos;

	private final long toNanos;

	private int running;

	private long eventNumber;

	private long nowNanos;

	AdmissionSimulation(Scenario scenario, IntFunction<VmAdmission> admission) {
		this.scenario = scenario;
		this.random = new SplittableRandom(scenario.seed());
		for (int vm = 0; vm < scenario.vms(); vm++) {
			this.vms.add(admission.apply(vm));
		}
		this.fromNanos = AdmissionStatistics.nanos(scenario.warmUpSeconds());
		this.toNanos = this.fromNanos + AdmissionStatistics.nanos(scenario.measuredSeconds());
	}

	AdmissionResult run() {
		this.scenario.organisations().forEach(this::scheduleArrival);
		schedule(TICK_NANOS, this::tick);
		while (!this.events.isEmpty() && this.events.peek().timeNanos() < this.toNanos) {
			Event event = this.events.poll();
			this.nowNanos = event.timeNanos();
			event.effect().run();
		}
		return this.counts.over(this.scenario);
	}

	private void scheduleArrival(Scenario.OrganisationLoad load) {
		double gapSeconds = exponential(1 / load.requestsPerSecond());
		schedule(this.nowNanos + AdmissionStatistics.nanos(gapSeconds), () -> arrive(load));
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
			this.counts.asked(load.name(), tokens);
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
			this.counts.refused(this.nowNanos - request.arrivedNanos);
		}
	}

	private void dispatch(SimulatedRequest request) {
		request.admittedNanos = this.nowNanos;
		if (this.running < this.scenario.fleetSlots()) {
			begin(request);
			return;
		}
		this.engineQueue.add(request);
	}

	private void begin(SimulatedRequest request) {
		this.running++;
		if (isMeasured(request.arrivedNanos)) {
			this.counts.begun(this.nowNanos - request.arrivedNanos);
		}
		long firstTokenNanos = this.nowNanos + TimeUnit.MILLISECONDS.toNanos(Scenario.FIRST_TOKEN_MILLIS);
		boolean inTime = firstTokenNanos <= request.ticket.deadlineNanos();
		if (inTime && isMeasured(request.arrivedNanos)) {
			this.counts.servedInTime(request.ticket.organisation(), request.tokens);
		}
		double pace = Scenario.TOKENS_PER_SECOND_PER_STREAM * this.scenario.engineSpeed();
		long endNanos = firstTokenNanos + AdmissionStatistics.nanos(request.tokens / pace);
		schedule(endNanos, () -> complete(request, inTime));
	}

	private void complete(SimulatedRequest request, boolean inTime) {
		this.running--;
		if (inTime && isMeasured(this.nowNanos)) {
			this.counts.completedInTime(request.tokens);
		}
		if (!this.engineQueue.isEmpty()) {
			begin(this.engineQueue.poll());
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
		schedule(this.nowNanos + TICK_NANOS, this::tick);
	}

	private void send(int sender, SlotLoanMessage.Outgoing outgoing) {
		this.counts.message();
		schedule(this.nowNanos + MESSAGE_NANOS, () -> {
			int receiver = Integer.parseInt(outgoing.peer());
			VmAdmission.LoanMessageResult shared = this.vms.get(receiver)
				.receive(String.valueOf(sender), outgoing.message(), this.nowNanos);
			perform(shared.actions());
			shared.reply()
				.ifPresent((answer) -> send(receiver, new SlotLoanMessage.Outgoing(String.valueOf(sender), answer)));
		});
	}

	private boolean isMeasured(long timeNanos) {
		return timeNanos >= this.fromNanos && timeNanos < this.toNanos;
	}

	private double exponential(double mean) {
		return -mean * Math.log(1 - this.random.nextDouble());
	}

	private void schedule(long timeNanos, Runnable effect) {
		this.events.add(new Event(timeNanos, this.eventNumber++, effect));
	}

	private record Event(long timeNanos, long number, Runnable effect) {

	}

	/** A request on its way. */
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
