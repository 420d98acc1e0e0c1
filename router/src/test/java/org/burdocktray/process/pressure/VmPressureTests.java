package org.burdocktray.process.pressure;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import java.util.stream.Collectors;

import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.process.demand.DemandExchange;
import org.burdocktray.process.demand.DemandMeter;
import org.burdocktray.process.settings.GatewayOptions.PressureOptions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against VMs of one data centre that are overloaded beside free ones, and against
 * relays that overload others, where VMs of different size get equal or skewed shares.
 */
class VmPressureTests {

	private static final double CORE_SECONDS_PER_REQUEST = 0.01;

	private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

	private static final double STEP_SECONDS = 0.05;

	private static final DataCentre GHENT = new DataCentre("ghent");

	/** Of VMs of 1 to 6 in size, the smallest gets 1.5 times what it bears. */
	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 3 })
	void strongerVmsTakeWhatASkewedHashSendsToSmallOnes(int seed) {
		Fleet fleet = new Fleet(seed, 0.25, 0.25, 0.5, 0.75, 1, 1.25, 1.5, 1.5);
		fleet.setLoad(1.5, 1.3, 0.6, 0.4, 0.3, 0.3, 0.2, 0.2);
		fleet.run(60);
		fleet.forgetCounts();
		fleet.run(60);
		assertThat(fleet.rejectedShare()).isLessThan(0.02);
		assertThat(fleet.vms).allSatisfy((vm) -> assertThat(vm.maxDelayMillis).isLessThan(250));
		assertThat(fleet.vms.subList(2, 8)).allSatisfy((vm) -> assertThat(vm.handedOver).isZero());
		assertThat(fleet.vms.get(0).handedOver).isPositive();
	}

	/**
	 * The only other VM is full as well. The VM bears 0.9 of its cores, the limit of the
	 * options.
	 */
	@Test
	void saturatedVmRejectsOnlyWhatItCannotBear() {
		Fleet fleet = new Fleet(1, 0.25, 0.25);
		fleet.setLoad(2, 0.78);
		fleet.run(60);
		fleet.forgetCounts();
		fleet.run(60);
		assertThat(fleet.vms.get(0).served / fleet.seconds).isBetween(0.9 * 0.9 * 25, 1.0 * 25);
		assertThat(fleet.vms.get(0).rejected).isPositive();
		assertThat(fleet.vms.get(1).rejected).isZero();
		assertThat(fleet.vms.get(0).maxDelayMillis).isLessThan(1_000);
	}

	/** A load just below the limit keeps the saturated state, which must not reject. */
	@Test
	void spikeDoesNotLeaveRejectionsOfWhatTheVmBears() {
		Fleet fleet = new Fleet(1, 4);
		fleet.setLoad(2);
		fleet.run(20);
		assertThat(fleet.vms.get(0).pressure.acceptsRelays()).isFalse();
		assertThat(fleet.vms.get(0).rejected).isPositive();
		for (double load = 2; load > 0.9 * 0.95; load -= 0.02) {
			fleet.setLoad(load);
			fleet.run(1);
		}
		fleet.setLoad(0.9 * 0.95);
		fleet.run(20);
		fleet.forgetCounts();
		fleet.run(120);
		assertThat(fleet.rejectedShare()).isLessThan(0.02);
	}

	/** Memory that is in use whatever is rejected must not raise the share by itself. */
	@Test
	void rejectionsForMemoryDoNotFeedThemselves() {
		Fleet fleet = new Fleet(1, 0.25);
		fleet.setLoad(0.3);
		fleet.vms.get(0).constantMemoryShare = 1.02 * 0.85;
		fleet.run(60);
		fleet.forgetCounts();
		fleet.run(60);
		assertThat(fleet.rejectedShare()).isBetween(0.01, 0.15);
		fleet.vms.get(0).constantMemoryShare = 0.8 * 0.85;
		fleet.run(10);
		fleet.forgetCounts();
		fleet.run(60);
		assertThat(fleet.rejectedShare()).isZero();
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 3 })
	void twoPressedVmsDoNotFillTheSameThirdOne(int seed) {
		Fleet fleet = new Fleet(seed, 0.5, 0.5, 0.5);
		fleet.setLoad(1.1, 1.1, 0.1);
		fleet.run(120);
		assertThat(fleet.vms.get(2).pressure.isUnderPressure()).isFalse();
		assertThat(fleet.vms.get(2).timesPressed).isZero();
		assertThat(fleet.vms.get(2).fromOthers).isPositive();
	}

	@Test
	void nobodyRelaysWhenAllArePressed() {
		Fleet fleet = new Fleet(1, 0.25, 0.5, 1, 1.5);
		fleet.setLoad(0.85, 0.85, 0.85, 0.85);
		fleet.run(10);
		fleet.forgetCounts();
		fleet.run(60);
		assertThat(fleet.vms).allSatisfy((vm) -> {
			assertThat(vm.pressure.isUnderPressure()).isTrue();
			assertThat(vm.pressure.acceptsRelays()).isTrue();
			assertThat(vm.handedOver).isZero();
			assertThat(vm.rejected).isZero();
		});
	}

	@Test
	void nothingIsHandedOverOnceReportsAreLost() {
		Fleet fleet = new Fleet(1, 0.25, 1.5, 1.5);
		fleet.setLoad(0.95, 0.1, 0.1);
		fleet.run(30);
		assertThat(fleet.vms.get(0).handedOver).isPositive();
		fleet.isLinked = (from, to) -> false;
		fleet.run(3.1);
		fleet.forgetCounts();
		fleet.run(30);
		assertThat(fleet.vms.get(0).handedOver).isZero();
	}

	@Test
	void handsOverNoMoreThanTheLimitAndRejectsTheRest() {
		Fleet fleet = new Fleet(1, 0.25, 1.5, 1.5, 1.5, 1.5, 1.5);
		fleet.setLoad(8, 0, 0, 0, 0, 0);
		fleet.run(60);
		fleet.forgetCounts();
		fleet.run(60);
		Vm small = fleet.vms.get(0);
		assertThat(small.handedOver / (8 * 25 * fleet.seconds)).isBetween(0.7, 0.76);
		assertThat(small.rejected).isPositive();
		assertThat(small.maxDelayMillis).isLessThan(1_000);
	}

	@Test
	void pressedVmHandsNothingToSmallerOnes() {
		Fleet fleet = new Fleet(1, 1.5, 0.25, 0.25);
		fleet.setLoad(0.95, 0.1, 0.1);
		fleet.run(60);
		assertThat(fleet.vms.get(0).handedOver).isZero();
	}

	/**
	 * A VM accepts connections but declines each request, and its reports say nothing of
	 * it.
	 */
	@Test
	void declinedRequestGoesToAnotherVmOrIsServedHere() {
		Fleet fleet = new Fleet(1, 0.25, 1.5, 1.5);
		fleet.setLoad(0.95, 0.1, 0.1);
		fleet.vms.get(1).declines = true;
		fleet.run(60);
		assertThat(fleet.vms.get(2).fromOthers).isPositive();
		assertThat(fleet.vms.get(0).declined).isLessThan(70);
		assertThat(fleet.rejectedShare()).isZero();
	}

	@Test
	void requestThatMayHaveRunElsewhereIsNeitherHandedOverAgainNorRejected() {
		Fleet fleet = new Fleet(1, 0.25, 1.5);
		fleet.setLoad(0.95, 0.1);
		fleet.run(30);
		Vm small = fleet.vms.get(0);
		for (int i = 0; i < 1_000; i++) {
			RequestPlacement request = new RequestPlacement(small.pressure, (vm) -> true, (vm) -> 0);
			if (request.get(fleet.nowNanos) instanceof Placement.AtVm at) {
				request.keepHere();
				assertThat(request.get(fleet.nowNanos)).isInstanceOf(Placement.Here.class);
				request.recordNotTaken(at.vm(), fleet.nowNanos);
				assertThat(request.get(fleet.nowNanos)).isInstanceOf(Placement.Here.class);
				return;
			}
		}
		assertThat(false).as("no request was handed over").isTrue();
	}

	private static final class Fleet {

		private final List<Vm> vms = new ArrayList<>();

		private BiPredicate<NetworkAddress, NetworkAddress> isLinked = (from, to) -> true;

		private long nowNanos;

		private double seconds;

		private Fleet(int seed, double... cores) {
			for (int i = 0; i < cores.length; i++) {
				this.vms.add(new Vm(new NetworkAddress("10.0.0." + (i + 1), 9000), cores[i], seed + i));
			}
			Map<NetworkAddress, Double> sizes = this.vms.stream()
				.collect(Collectors.toMap((vm) -> vm.address, (vm) -> vm.cores));
			this.vms.forEach((vm) -> {
				vm.pressure.setVms(sizes);
				vm.demand.setVms(sizes.keySet().stream().collect(Collectors.toMap((key) -> key, (key) -> GHENT)));
			});
		}

		/** Sets the load of each VM as a multiple of what its cores bear. */
		private void setLoad(double... loads) {
			for (int i = 0; i < loads.length; i++) {
				this.vms.get(i).requestsPerSecond = loads[i] * this.vms.get(i).cores / CORE_SECONDS_PER_REQUEST;
			}
		}

		private void run(double duration) {
			for (double passed = 0; passed < duration; passed += STEP_SECONDS) {
				this.nowNanos += STEP_NANOS;
				this.seconds += STEP_SECONDS;
				this.vms.forEach(this::step);
			}
		}

		private void step(Vm vm) {
			for (vm.due += vm.requestsPerSecond * STEP_SECONDS; vm.due >= 1; vm.due--) {
				arrive(vm);
			}
			vm.work(this.nowNanos);
			vm.pressure.addTo(vm.demand.tick(this.nowNanos), this.nowNanos)
				.forEach((outgoing) -> outgoing.receivers()
					.stream()
					.filter((to) -> this.isLinked.test(vm.address, to))
					.map(this::find)
					.forEach((to) -> {
						to.demand.receive(vm.address, outgoing.message(), this.nowNanos);
						to.pressure.receive(vm.address, outgoing.message(), this.nowNanos);
					}));
		}

		private void arrive(Vm vm) {
			RequestPlacement request = new RequestPlacement(vm.pressure, (other) -> true, (other) -> 0);
			Placement place = request.get(this.nowNanos);
			while (place instanceof Placement.AtVm at) {
				Vm other = find(at.vm());
				if (other.pressure.acceptsRelays() && !other.declines) {
					other.pressure.recordFromOtherVm(this.nowNanos);
					other.backlogSeconds += CORE_SECONDS_PER_REQUEST;
					other.fromOthers++;
					vm.handedOver++;
					return;
				}
				vm.declined++;
				request.recordNotTaken(at.vm(), this.nowNanos);
				place = request.get(this.nowNanos);
			}
			if (place instanceof Placement.Rejected) {
				vm.rejected++;
				return;
			}
			vm.served++;
			vm.backlogSeconds += CORE_SECONDS_PER_REQUEST;
		}

		private Vm find(NetworkAddress address) {
			return this.vms.stream().filter((vm) -> vm.address.equals(address)).findFirst().orElseThrow();
		}

		private void forgetCounts() {
			this.seconds = 0;
			this.vms.forEach(Vm::forgetCounts);
		}

		private double rejectedShare() {
			double rejected = this.vms.stream().mapToInt((vm) -> vm.rejected).sum();
			return rejected / this.vms.stream().mapToInt((vm) -> vm.rejected + vm.served + vm.handedOver).sum();
		}

	}

	/**
	 * A VM whose work waits in a queue; the event loop is as late as the queue is long.
	 */
	private static final class Vm implements VmPressure.Resources, VmPressure.Listener {

		private final NetworkAddress address;

		private final double cores;

		private final DemandExchange demand;

		private final VmPressure pressure;

		private double maxDelayMillis;

		private double requestsPerSecond;

		private double due;

		private double backlogSeconds;

		private double usedSeconds;

		private double constantMemoryShare;

		private boolean declines;

		private int served;

		private int handedOver;

		private int fromOthers;

		private int declined;

		private int rejected;

		private int timesPressed;

		private Vm(NetworkAddress address, double cores, int seed) {
			this.address = address;
			this.cores = cores;
			this.demand = new DemandExchange(GHENT, address, new DemandMeter(), 0);
			this.pressure = new VmPressure(new PressureOptions(100, 0.9, 0.85, 0.8, 0.75),
					new VmPressure.Size(cores, 1e8), address, this, new SplittableRandom(seed), this, 0);
		}

		private void work(long nowNanos) {
			double done = Math.min(this.backlogSeconds, this.cores * STEP_SECONDS);
			this.backlogSeconds -= done;
			this.usedSeconds += done;
			double delaySeconds = this.backlogSeconds / this.cores;
			this.maxDelayMillis = Math.max(this.maxDelayMillis, 1_000 * delaySeconds);
			this.pressure.tick((long) (1e9 * delaySeconds), nowNanos);
		}

		private void forgetCounts() {
			this.maxDelayMillis = 0;
			this.served = 0;
			this.handedOver = 0;
			this.fromOthers = 0;
			this.declined = 0;
			this.rejected = 0;
			this.timesPressed = 0;
		}

		@Override
		public long processorNanos() {
			return (long) (1e9 * this.usedSeconds);
		}

		@Override
		public double memoryShare() {
			return this.constantMemoryShare;
		}

		@Override
		public long sentBytes() {
			return 0;
		}

		@Override
		public void onSample(ResourcePressure sampled) {
		}

		@Override
		public void onStateChange(PressureState before, PressureState after, String details) {
			this.timesPressed += (before == PressureState.NORMAL) ? 1 : 0;
		}

		@Override
		public void onHandedOver() {
		}

		@Override
		public void onDeclined() {
		}

		@Override
		public void onRejected() {
		}

	}

}
