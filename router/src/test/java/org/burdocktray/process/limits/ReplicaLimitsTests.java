package org.burdocktray.process.limits;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the requests of all VMs together stay within the limits of replicas, by the
 * users' rule LIMIT, in virtual time. All VMs have a request at any moment.
 */
class ReplicaLimitsTests {

	private static final long MILLI_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

	private static final long WINDOW_MILLIS = 4_000;

	/** The time from the first response with a limit from which it is in force. */
	private static final long CONTACT_MILLIS = 3_000;

	private static final long RUN_MILLIS = 60_000;

	private final List<ReplicaLimits> vms = new ArrayList<>();

	private final List<String> vmNames = new ArrayList<>();

	private final List<Long> sentMillis = new ArrayList<>();

	private long nowMillis;

	@ParameterizedTest
	@CsvSource({ "1,0.5", "1,3", "1,15", "1,200", "2,0.5", "2,3", "2,15", "2,200", "9,0.5", "9,3", "9,15", "9,200",
			"90,0.5", "90,3", "90,15", "90,200" })
	void requestsOfAllVmsStayWithinTheLimit(int vmCount, double requestsPerSecond) {
		addVms(vmCount);
		nameLimitWithinASecond(Double.toString(requestsPerSecond));
		runUntil(RUN_MILLIS);
		assertThat(mostInAWindow(CONTACT_MILLIS)).isLessThanOrEqualTo(allowed(requestsPerSecond));
		assertThat(this.sentMillis.size()).isGreaterThanOrEqualTo((int) (0.4 * requestsPerSecond * RUN_MILLIS / 1_000));
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 8 })
	void vmThatJoinsTakesItsShareFromTheOthers(int vmCount) {
		addVms(vmCount);
		nameLimitWithinASecond("15");
		runUntil(20_000);
		addVms(1);
		this.vms.get(vmCount).record("replica", RequestLimit.parse("15"), nowNanos());
		List<ReplicaLimits> older = this.vms.subList(0, vmCount);
		List<String> olderNames = this.vmNames.subList(0, vmCount);
		older.forEach((vm) -> vm.setVms(olderNames));
		runUntil(36_000);
		older.forEach((vm) -> vm.setVms(this.vmNames));
		runUntil(RUN_MILLIS);
		assertThat(mostInAWindow(CONTACT_MILLIS)).isLessThanOrEqualTo(allowed(15));
	}

	@ParameterizedTest
	@ValueSource(ints = { 2, 9 })
	void vmThatLeavesGivesItsShareToTheOthersOnceItIsNotListed(int vmCount) {
		addVms(vmCount);
		nameLimitWithinASecond("15");
		runUntil(20_000);
		this.vms.remove(0);
		this.vmNames.remove(0);
		runUntil(36_000);
		this.vms.forEach((vm) -> vm.setVms(this.vmNames));
		runUntil(RUN_MILLIS);
		assertThat(mostInAWindow(CONTACT_MILLIS)).isLessThanOrEqualTo(allowed(15));
	}

	@Test
	void changedLimitIsInForceAtOnce() {
		addVms(9);
		nameLimitWithinASecond("100");
		runUntil(20_000);
		this.vms.forEach((vm) -> vm.record("replica", RequestLimit.parse("5"), nowNanos()));
		long changedMillis = this.nowMillis;
		runUntil(RUN_MILLIS);
		assertThat(mostInAWindow(changedMillis)).isLessThanOrEqualTo(allowed(5));
	}

	@Test
	void limitEndsWithTheFirstResponseWithoutOne() {
		addVms(1);
		ReplicaLimits vm = this.vms.get(0);
		vm.record("replica", RequestLimit.parse("0.5"), 0);
		vm.recordRequest("replica", 0);
		assertThat(vm.hasRoom("replica", 1)).isFalse();
		assertThat(vm.nanosUntilRoom("replica", 1)).isPositive();
		assertThat(vm.record("replica", RequestLimit.parse(null), 2)).isTrue();
		assertThat(vm.hasRoom("replica", 3)).isTrue();
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "many", "-1", "0", "NaN", "Infinity", "1,5" })
	void valueThatIsNoLimitChangesNothing(String text) {
		addVms(1);
		ReplicaLimits vm = this.vms.get(0);
		assertThat(vm.record("replica", RequestLimit.parse(text), 0)).isFalse();
		assertThat(vm.hasRoom("replica", 0)).isTrue();
		vm.record("replica", RequestLimit.parse("2"), 0);
		vm.recordRequest("replica", 0);
		assertThat(vm.record("replica", RequestLimit.parse(text), 1)).isFalse();
		assertThat(vm.hasRoom("replica", 1)).isFalse();
	}

	@Test
	void hugeLimitIsNone() {
		addVms(9);
		ReplicaLimits vm = this.vms.get(0);
		vm.record("replica", RequestLimit.parse("1e308"), 0);
		vm.recordRequest("replica", 0);
		assertThat(vm.hasRoom("replica", 1)).isTrue();
	}

	@Test
	void requestsThatCanNotBePutOffPutOffTheNext() {
		addVms(1);
		ReplicaLimits vm = this.vms.get(0);
		vm.record("replica", RequestLimit.parse("1"), 0);
		vm.recordRequest("replica", 0);
		vm.recordRequest("replica", 0);
		assertThat(vm.nanosUntilRoom("replica", 0)).isEqualTo(TimeUnit.SECONDS.toNanos(2));
	}

	private void addVms(int count) {
		IntStream.range(0, count).forEach((index) -> {
			String name = "vm-" + this.vmNames.size();
			this.vmNames.add(name);
			this.vms.add(new ReplicaLimits(name));
		});
		this.vms.forEach((vm) -> vm.setVms(this.vmNames));
	}

	private void nameLimitWithinASecond(String limit) {
		SplittableRandom random = new SplittableRandom(this.vms.size());
		this.vms.forEach((vm) -> vm.record("replica", RequestLimit.parse(limit), random.nextLong(1_000) * MILLI_NANOS));
	}

	private void runUntil(long endMillis) {
		for (; this.nowMillis < endMillis; this.nowMillis++) {
			for (ReplicaLimits vm : this.vms) {
				if (vm.hasRoom("replica", nowNanos())) {
					vm.recordRequest("replica", nowNanos());
					this.sentMillis.add(this.nowMillis);
				}
			}
		}
	}

	private int mostInAWindow(long fromMillis) {
		List<Long> counted = this.sentMillis.stream().filter((sent) -> sent >= fromMillis).toList();
		int most = 0;
		int first = 0;
		for (int last = 0; last < counted.size(); last++) {
			while (counted.get(last) - counted.get(first) > WINDOW_MILLIS) {
				first++;
			}
			most = Math.max(most, last - first + 1);
		}
		return most;
	}

	private static int allowed(double requestsPerSecond) {
		return (int) (1.5 * requestsPerSecond * WINDOW_MILLIS / 1_000 + 5);
	}

	private long nowNanos() {
		return this.nowMillis * MILLI_NANOS;
	}

}
