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

	private static final int OWN_PLACES = 10;

	@ParameterizedTest
	@CsvSource({ "4800, 9", "7, 9", "48000, 320", "31, 320" })
	void partsSumToTheWhole(int whole, int seats) {
		int sum = 0;
		for (int seat = 0; seat < seats; seat++) {
			sum += SlotShare.ownShare(whole, seat, seats);
		}
		assertThat(sum).isEqualTo(whole);
	}

	@Test
	void borrowsWhatAPeerHasFree() {
		SlotShare borrower = share(false);
		SlotShare lender = share(false);
		SlotLoanMessage.Request ask = (SlotLoanMessage.Request) borrower
			.requestLoans(2, List.of("lender"), new SplittableRandom(1), 0)
			.get(0)
			.message();
		SlotLoanMessage.Grant grant = lender.onLoanRequest("borrower", ask, 0, 0).orElseThrow();
		borrower.onGrant("lender", grant, 0);
		assertThat(List.of(borrower.usableSlots(0), lender.usableSlots(0))).containsExactly(12, 8);
	}

	@Test
	void lendsAtMostHalf() {
		assertThat(share(false).onLoanRequest("borrower", new SlotLoanMessage.Request(1, 9), 0, 0))
			.contains(new SlotLoanMessage.Grant(1, 5));
	}

	@Test
	void ignoresARequestThatWasGivenUpBeforeItArrived() {
		SlotShare lender = share(false);
		lender.onReturn("borrower", new SlotLoanMessage.Return(1));
		assertThat(lender.onLoanRequest("borrower", new SlotLoanMessage.Request(1, 2), 0, 0)).isEmpty();
	}

	@Test
	void ignoresAGrantThatItGaveUp() {
		SlotShare borrower = share(false);
		borrower.requestLoans(2, List.of("lender"), new SplittableRandom(1), 0);
		borrower.tick(0, millis(300));
		borrower.onGrant("lender", new SlotLoanMessage.Grant(1, 2), millis(301));
		assertThat(borrower.usableSlots(millis(301))).isEqualTo(OWN_PLACES);
	}

	@Test
	void borrowerStopsAdmittingBeforeTheLoanEnds() {
		SlotShare borrower = share(false);
		borrower.requestLoans(2, List.of("lender"), new SplittableRandom(1), 0);
		borrower.onGrant("lender", new SlotLoanMessage.Grant(1, 2), millis(1));
		assertThat(borrower.usableSlots(millis(2000))).isEqualTo(OWN_PLACES);
	}

	@Test
	void successorUsesHalfUntilTheLoansOfItsPredecessorEnded() {
		SlotShare successor = share(true);
		assertThat(List.of(successor.usableSlots(millis(4079)), successor.usableSlots(millis(4080)))).containsExactly(5,
				10);
	}

	@Test
	void successorLendsNothingUntilTheLoansOfItsPredecessorsEnded() {
		assertThat(share(true).onLoanRequest("borrower", new SlotLoanMessage.Request(1, 1), 0, millis(4079)))
			.contains(new SlotLoanMessage.Grant(1, 0));
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20 })
	void placesOfAllVmsNeverSumToMoreThanTheWhole(long seed) {
		assertThat(new Fleet(seed).largestSum()).isLessThanOrEqualTo(Fleet.VMS * OWN_PLACES);
	}

	private static SlotShare share(boolean takesOver) {
		return new SlotShare(PARAMETERS, OWN_PLACES, 1, takesOver, 0);
	}

	private static long millis(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

	/**
	 * VMs with clocks that drift and differing views of who is alive, before a network
	 * that loses, delays and doubles messages, with cuts, deaths and replacements.
	 */
	private static final class Fleet {

		private static final int VMS = 6;

		private static final int STEPS = 6000;

		private static final long STEP_MILLIS = 5;

		private final SplittableRandom random;

		private final List<SlotShare> shares = new ArrayList<>();

		private final int[] inProgress = new int[VMS];

		private final double[] clockRates = new double[VMS];

		private final int[] sides = new int[VMS];

		private final boolean[] dead = new boolean[VMS];

		private final boolean[] busy = new boolean[VMS];

		private final PriorityQueue<Delivery> network = new PriorityQueue<>(Comparator.comparingLong(Delivery::step));

		private int loans;

		private Fleet(long seed) {
			this.random = new SplittableRandom(seed);
			for (int vm = 0; vm < VMS; vm++) {
				this.clockRates[vm] = 0.99 + this.random.nextDouble() * 0.0196;
				this.shares.add(share(false));
			}
		}

		private int largestSum() {
			int largest = 0;
			for (int step = 0; step < STEPS; step++) {
				disturb(step);
				while (!this.network.isEmpty() && this.network.peek().step() <= step) {
					deliver(this.network.poll(), step);
				}
				int vm = this.random.nextInt(VMS);
				if (!this.dead[vm]) {
					act(vm, step);
				}
				largest = Math.max(largest, sum(step));
			}
			assertThat(this.loans).isPositive();
			return largest;
		}

		private void disturb(int step) {
			int vm = this.random.nextInt(VMS);
			if (this.random.nextInt(100) == 0) {
				this.sides[vm] = this.random.nextInt(2);
			}
			if (this.random.nextInt(200) == 0) {
				this.dead[vm] = this.random.nextInt(4) == 0;
				this.inProgress[vm] = 0;
				this.shares.set(vm, new SlotShare(PARAMETERS, OWN_PLACES, step + 1L, true, now(vm, step)));
			}
		}

		private void act(int vm, int step) {
			this.busy[vm] ^= this.random.nextInt(200) == 0;
			this.inProgress[vm] = (this.busy[vm]) ? this.shares.get(vm).usableSlots(now(vm, step)) : 0;
			List<String> believedAlive = new ArrayList<>();
			for (int peer = 0; peer < VMS; peer++) {
				if (peer != vm && this.random.nextInt(4) > 0) {
					believedAlive.add(String.valueOf(peer));
				}
			}
			List<SlotLoanMessage.Outgoing> messages = new ArrayList<>(
					this.shares.get(vm).tick(this.inProgress[vm], now(vm, step)));
			messages.addAll(this.shares.get(vm)
				.requestLoans((this.busy[vm]) ? 4 : 0, believedAlive, this.random, now(vm, step)));
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
			boolean cut = this.sides[delivery.sender()] != this.sides[receiver];
			if (cut || this.dead[receiver] || this.random.nextInt(10) == 0) {
				return;
			}
			SlotShare share = this.shares.get(receiver);
			String sender = String.valueOf(delivery.sender());
			SlotLoanMessage message = delivery.outgoing().message();
			if (message instanceof SlotLoanMessage.Request ask) {
				share.onLoanRequest(sender, ask, this.inProgress[receiver], now(receiver, step))
					.ifPresent((grant) -> send(receiver, new SlotLoanMessage.Outgoing(sender, grant), step));
			}
			else if (message instanceof SlotLoanMessage.Grant grant) {
				this.loans += grant.slots();
				share.onGrant(sender, grant, now(receiver, step));
			}
			else if (message instanceof SlotLoanMessage.Return returned) {
				share.onReturn(sender, returned);
			}
		}

		private int sum(int step) {
			int sum = 0;
			for (int vm = 0; vm < VMS; vm++) {
				sum += (this.dead[vm]) ? 0 : this.shares.get(vm).heldSlots(now(vm, step));
			}
			return sum;
		}

		private long now(int vm, int step) {
			return (long) (millis(step * STEP_MILLIS) * this.clockRates[vm]);
		}

		private record Delivery(long step, int sender, SlotLoanMessage.Outgoing outgoing) {

		}

	}

}
