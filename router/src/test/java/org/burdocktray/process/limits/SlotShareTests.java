package org.burdocktray.process.limits;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class SlotShareTests {

	private static final SlotShareParameters PARAMETERS = new SlotShareParameters(4000, 2000, 300, 0.02);

	private static final int OWN_SLOTS = 10;

	@ParameterizedTest
	@CsvSource({ "4800, 9", "7, 9", "48000, 320", "31, 320" })
	void ownSharesSumToTotal(int total, int vmCount) {
		int sum = 0;
		for (int vmIndex = 0; vmIndex < vmCount; vmIndex++) {
			sum += SlotShare.ownShare(total, vmIndex, vmCount);
		}
		assertThat(sum).isEqualTo(total);
	}

	@Test
	void borrowsFreeSlotsOfPeer() {
		SlotShare borrower = share(false);
		SlotShare lender = share(false);
		SlotLoanMessage.Request request = (SlotLoanMessage.Request) borrower
			.requestLoans(2, List.of("lender"), new SplittableRandom(1), 0)
			.get(0)
			.message();
		SlotLoanMessage.Grant grant = lender.onLoanRequest("borrower", request, 0, 0).orElseThrow();
		borrower.onGrant("lender", grant, 0);
		assertThat(List.of(borrower.usableSlots(0), lender.usableSlots(0))).containsExactly(12, 8);
	}

	@Test
	void lendsAtMostHalfOfOwnSlots() {
		assertThat(share(false).onLoanRequest("borrower", new SlotLoanMessage.Request(1, 9), 0, 0))
			.contains(new SlotLoanMessage.Grant(1, 5));
	}

	@Test
	void ignoresLoanRequestThatWasCancelledBeforeItArrived() {
		SlotShare lender = share(false);
		lender.onReturn("borrower", new SlotLoanMessage.Return(1));
		assertThat(lender.onLoanRequest("borrower", new SlotLoanMessage.Request(1, 2), 0, 0)).isEmpty();
	}

	@Test
	void ignoresGrantAfterRequestTimedOut() {
		SlotShare borrower = share(false);
		borrower.requestLoans(2, List.of("lender"), new SplittableRandom(1), 0);
		borrower.tick(0, millis(300));
		borrower.onGrant("lender", new SlotLoanMessage.Grant(1, 2), millis(301));
		assertThat(borrower.usableSlots(millis(301))).isEqualTo(OWN_SLOTS);
	}

	@Test
	void borrowerStopsAdmittingBeforeLoanEnds() {
		SlotShare borrower = share(false);
		borrower.requestLoans(2, List.of("lender"), new SplittableRandom(1), 0);
		borrower.onGrant("lender", new SlotLoanMessage.Grant(1, 2), millis(1));
		assertThat(borrower.usableSlots(millis(2000))).isEqualTo(OWN_SLOTS);
	}

	@Test
	void successorUsesHalfUntilLoansOfPredecessorEnd() {
		SlotShare successor = share(true);
		assertThat(List.of(successor.usableSlots(millis(4079)), successor.usableSlots(millis(4080)))).containsExactly(5,
				10);
	}

	@Test
	void successorLendsNothingUntilLoansOfPredecessorsEnd() {
		assertThat(share(true).onLoanRequest("borrower", new SlotLoanMessage.Request(1, 1), 0, millis(4079)))
			.contains(new SlotLoanMessage.Grant(1, 0));
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20 })
	void slotsOfAllVmsNeverSumToMoreThanTotal(long seed) {
		assertThat(new Fleet(seed).maxSlotSum()).isLessThanOrEqualTo(Fleet.VMS * OWN_SLOTS);
	}

	private static SlotShare share(boolean hasPredecessor) {
		return new SlotShare(PARAMETERS, OWN_SLOTS, 1, hasPredecessor, 0);
	}

	private static long millis(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

	/**
	 * Simulates VMs with drifting clocks and different views of which VMs are alive, on a
	 * network that loses, delays and duplicates messages, with partitions, failures and
	 * replacements of VMs.
	 */
	private static final class Fleet {

		private static final int VMS = 6;

		private static final int STEPS = 6000;

		private static final long STEP_MILLIS = 5;

		private final SplittableRandom random;

		private final List<SlotShare> shares = new ArrayList<>();

		private final int[] inProgress = new int[VMS];

		private final double[] clockRates = new double[VMS];

		private final int[] partitions = new int[VMS];

		private final boolean[] failed = new boolean[VMS];

		private final boolean[] loaded = new boolean[VMS];

		private final PriorityQueue<Delivery> network = new PriorityQueue<>(Comparator.comparingLong(Delivery::step));

		private int lentSlots;

		private Fleet(long seed) {
			this.random = new SplittableRandom(seed);
			for (int vm = 0; vm < VMS; vm++) {
				this.clockRates[vm] = 0.99 + this.random.nextDouble() * 0.0196;
				this.shares.add(share(false));
			}
		}

		private int maxSlotSum() {
			int maxSum = 0;
			for (int step = 0; step < STEPS; step++) {
				injectFaults(step);
				while (!this.network.isEmpty() && this.network.peek().step() <= step) {
					deliver(this.network.poll(), step);
				}
				int vm = this.random.nextInt(VMS);
				if (!this.failed[vm]) {
					runVm(vm, step);
				}
				maxSum = Math.max(maxSum, slotSum(step));
			}
			assertThat(this.lentSlots).isPositive();
			return maxSum;
		}

		private void injectFaults(int step) {
			int vm = this.random.nextInt(VMS);
			if (this.random.nextInt(100) == 0) {
				this.partitions[vm] = this.random.nextInt(2);
			}
			if (this.random.nextInt(200) == 0) {
				this.failed[vm] = this.random.nextInt(4) == 0;
				this.inProgress[vm] = 0;
				this.shares.set(vm, new SlotShare(PARAMETERS, OWN_SLOTS, step + 1L, true, nowNanos(vm, step)));
			}
		}

		private void runVm(int vm, int step) {
			this.loaded[vm] ^= this.random.nextInt(200) == 0;
			this.inProgress[vm] = (this.loaded[vm]) ? this.shares.get(vm).usableSlots(nowNanos(vm, step)) : 0;
			List<String> peers = new ArrayList<>();
			for (int peer = 0; peer < VMS; peer++) {
				if (peer != vm && this.random.nextInt(4) > 0) {
					peers.add(String.valueOf(peer));
				}
			}
			List<SlotLoanMessage.Outgoing> messages = new ArrayList<>(
					this.shares.get(vm).tick(this.inProgress[vm], nowNanos(vm, step)));
			messages.addAll(this.shares.get(vm)
				.requestLoans((this.loaded[vm]) ? 4 : 0, peers, this.random, nowNanos(vm, step)));
			messages.forEach((outgoing) -> send(vm, outgoing, step));
		}

		private void send(int sender, SlotLoanMessage.Outgoing outgoing, int step) {
			for (int copy = 0; copy < 1 + this.random.nextInt(10) / 9; copy++) {
				int delaySteps = (this.random.nextInt(20) == 0) ? this.random.nextInt(600) : this.random.nextInt(4);
				this.network.add(new Delivery(step + 1 + delaySteps, sender, outgoing));
			}
		}

		private void deliver(Delivery delivery, int step) {
			int receiver = Integer.parseInt(delivery.outgoing().peer());
			boolean partitioned = this.partitions[delivery.sender()] != this.partitions[receiver];
			if (partitioned || this.failed[receiver] || this.random.nextInt(10) == 0) {
				return;
			}
			SlotShare share = this.shares.get(receiver);
			String sender = String.valueOf(delivery.sender());
			SlotLoanMessage message = delivery.outgoing().message();
			if (message instanceof SlotLoanMessage.Request request) {
				share.onLoanRequest(sender, request, this.inProgress[receiver], nowNanos(receiver, step))
					.ifPresent((grant) -> send(receiver, new SlotLoanMessage.Outgoing(sender, grant), step));
			}
			else if (message instanceof SlotLoanMessage.Grant grant) {
				this.lentSlots += grant.slots();
				share.onGrant(sender, grant, nowNanos(receiver, step));
			}
			else if (message instanceof SlotLoanMessage.Return returned) {
				share.onReturn(sender, returned);
			}
		}

		private int slotSum(int step) {
			int sum = 0;
			for (int vm = 0; vm < VMS; vm++) {
				sum += (this.failed[vm]) ? 0 : this.shares.get(vm).heldSlots(nowNanos(vm, step));
			}
			return sum;
		}

		private long nowNanos(int vm, int step) {
			return (long) (millis(step * STEP_MILLIS) * this.clockRates[vm]);
		}

		private record Delivery(long step, int sender, SlotLoanMessage.Outgoing outgoing) {

		}

	}

}
