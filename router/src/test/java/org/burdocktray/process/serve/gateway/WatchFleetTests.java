package org.burdocktray.process.serve.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import org.burdocktray.connection.peer.generated.WatchAnswer;
import org.burdocktray.process.settings.GatewayOptions.WatchOptions;
import org.jboss.logging.Logger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against fleets whose calls to the store grow with the VMs, and against VMs that
 * accept withdrawn keys, go back to an old state or learn of changes late when watchers
 * fail.
 */
class WatchFleetTests {

	private static final Logger LOGGER = Logger.getLogger(WatchFleetTests.class);

	private static final WatchOptions ON = new WatchOptions(16, 32, 2);

	private static final WatchOptions OFF = new WatchOptions(100_000, 32, 2);

	private static final long START_MILLIS = 5_000;

	private static final long MINUTE_MILLIS = 60_000;

	/** A VM lists and watches each kind at the store until it knows the other VMs. */
	private static final long CALLS_OF_A_START = 2;

	@ParameterizedTest
	@ValueSource(ints = { 95, 300 })
	void calmMinuteTakesAFifthOfTheCalls(int vmCount) {
		WatchFleet fleet = started(vmCount, ON, 1);
		long calls = callsOf(fleet, MINUTE_MILLIS);
		long callsBefore = callsOf(started(vmCount, OFF, 1), MINUTE_MILLIS);
		assertThat(calls).isLessThanOrEqualTo(callsBefore / 5);
		assertThat(fleet.messageBytes / 65 / vmCount).isLessThan(10_000);
		assertThat(fleet.violations).isEmpty();
	}

	@Test
	void smallFleetMakesNoMoreCalls() {
		assertThat(callsOf(started(9, ON, 1), MINUTE_MILLIS))
			.isLessThanOrEqualTo(callsOf(started(9, OFF, 1), MINUTE_MILLIS));
	}

	@ParameterizedTest
	@ValueSource(ints = { 95, 300 })
	void outageTakesAFifthOfTheCalls(int vmCount) {
		long calls = callsInOutage(vmCount, ON);
		long callsBefore = callsInOutage(vmCount, OFF);
		assertThat(calls).isLessThanOrEqualTo(callsBefore / 5);
	}

	private static long callsInOutage(int vmCount, WatchOptions options) {
		WatchFleet fleet = started(vmCount, options, 2);
		setAvailable(fleet, false);
		long calls = callsOf(fleet, 10_000);
		setAvailable(fleet, true);
		fleet.time.run(3_000);
		fleet.withdrawKey();
		fleet.time.run(10_000);
		assertThat(fleet.violations).isEmpty();
		return calls;
	}

	@ParameterizedTest
	@ValueSource(ints = { 95, 300 })
	void stormOfChangesTakesAFifthOfTheCalls(int vmCount) {
		long calls = callsInStorm(vmCount, ON);
		long callsBefore = callsInStorm(vmCount, OFF);
		assertThat(calls).isLessThanOrEqualTo(callsBefore / 5);
	}

	private static long callsInStorm(int vmCount, WatchOptions options) {
		WatchFleet fleet = started(vmCount, options, 3);
		long before = fleet.store.calls;
		for (int change = 0; change < 200; change++) {
			fleet.changeReplica();
			fleet.time.run(100);
		}
		fleet.time.run(5_000);
		assertThat(fleet.violations).isEmpty();
		return fleet.store.calls - before;
	}

	@Test
	void rollingRestartTakesHalfOfTheCalls() {
		long calls = callsInRollingRestart(ON);
		long callsBefore = callsInRollingRestart(OFF);
		assertThat(calls).isLessThanOrEqualTo(callsBefore / 2);
	}

	private static long callsInRollingRestart(WatchOptions options) {
		WatchFleet fleet = started(95, options, 4);
		long before = fleet.store.calls;
		for (WatchFleet.Vm vm : fleet.vms) {
			vm.kill();
			fleet.time.run(600);
			vm.start();
			fleet.changeReplica();
		}
		fleet.time.run(5_000);
		assertThat(fleet.violations).isEmpty();
		return fleet.store.calls - before;
	}

	/** Guards against keys that are refused earlier than without the feature. */
	@Test
	void followersStayFreshForAsLongAsTheBoundSays() {
		WatchFleet fleet = started(95, ON, 5);
		fleet.rulesWaitMillis = 660;
		fleet.time.run(10_000);
		for (int round = 0; round < 20; round++) {
			fleet.time.run(137);
			fleet.vms.forEach((vm) -> assertThat(vm.rulesAgeMillis()).as("%s at %d", vm.name, fleet.time.millis())
				.isLessThan(1_400));
		}
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 110, 211, 229, 254 })
	void nothingIsBrokenWhileWatchersFail(long seed) {
		WatchFleet fleet = started((seed % 2 == 0) ? 48 : 95, ON, seed);
		SplittableRandom random = new SplittableRandom(seed);
		for (int round = 0; round < 12; round++) {
			disturb(fleet, random);
			fleet.time.run(random.nextInt(3_000));
			fleet.withdrawKey();
			fleet.changeReplica();
			fleet.time.run(9_000);
			repair(fleet);
			fleet.time.run(4_000);
		}
		assertThat(fleet.violations).isEmpty();
	}

	private static void disturb(WatchFleet fleet, SplittableRandom random) {
		List<WatchFleet.Vm> watchers = fleet.watchers();
		WatchFleet.Vm watcher = watchers.get(random.nextInt(watchers.size()));
		switch (random.nextInt(9)) {
			case 0 -> watcher.kill();
			case 1 -> fleet.freeze(watcher, 1_000 + random.nextInt(8_000));
			case 2 -> watcher.cutOffFromStore();
			case 3 -> watcher.cutOffFromPeers();
			case 4 -> watchers.forEach(WatchFleet.Vm::kill);
			case 5 -> watcher.moveEpochClock(random.nextInt(-5_000, 5_000));
			case 6 -> setAvailable(fleet, false);
			case 7 -> {
				watchers.forEach((vm) -> fleet.store.rejectedVms.add(vm.name));
				fleet.store.endRejectedWatches();
			}
			default -> watchers.forEach((vm) -> fleet.freeze(vm, 1_000 + random.nextInt(8_000)));
		}
	}

	private static void repair(WatchFleet fleet) {
		setAvailable(fleet, true);
		fleet.store.rejectedVms.clear();
		for (WatchFleet.Vm vm : fleet.vms) {
			vm.reconnect();
			if (vm.killed) {
				vm.start();
			}
		}
	}

	/**
	 * Guards against a data centre that serves nobody since only its link to the store is
	 * cut.
	 */
	@Test
	void dataCentreCutOffFromTheStoreAsksAnother() {
		WatchFleet fleet = started(95, ON, 8);
		List<WatchFleet.Vm> cutOff = fleet.vms.stream()
			.filter((vm) -> Integer.parseInt(vm.name.substring(3)) % 3 == 0)
			.toList();
		cutOff.forEach(WatchFleet.Vm::cutOffFromStore);
		long before = fleet.store.calls;
		fleet.time.run(10_000);
		fleet.changeReplica();
		fleet.withdrawKey();
		fleet.time.run(10_000);
		assertThat(cutOff).allMatch(WatchFleet.Vm::isUpToDate);
		assertThat(fleet.store.calls - before).isLessThan(callsOf(started(95, OFF, 8), 20_000) / 5);
		assertThat(fleet.violations).isEmpty();
	}

	/**
	 * Guards against VMs that poll without a pause, since each of their calls begins at
	 * watchers without the store and ends at one that answers at once.
	 */
	@Test
	void vmsOfADataCentreWithoutTheStoreDoNotPollInALoop() {
		WatchFleet fleet = started(95, ON, 9);
		List<WatchFleet.Vm> cutOff = fleet.vms.stream()
			.filter((vm) -> Integer.parseInt(vm.name.substring(3)) % 3 == 0)
			.toList();
		cutOff.forEach((vm) -> fleet.store.rejectedVms.add(vm.name));
		fleet.store.endRejectedWatches();
		fleet.time.run(5_000);
		long before = cutOff.stream().mapToLong((vm) -> vm.requests).sum();
		fleet.time.run(10_000);
		long requests = cutOff.stream().mapToLong((vm) -> vm.requests).sum() - before;
		// Two waits a second, and the watchers without the store once in two seconds.
		assertThat(requests / cutOff.size()).isLessThan(60);
		assertThat(fleet.violations).isEmpty();
	}

	/**
	 * Guards against calls to the store that stay above twice the usual ones ten minutes
	 * after 16 of the 22 VMs of a data centre were stopped, each while it watched, since
	 * stopped VMs, which stay registered, hold the places of watchers; and against VMs
	 * that still watch in place of the stopped ones a quarter of an hour after these have
	 * started again.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 1, 2 })
	void stoppedVmsTakeNoPlaceOfAWatcher(long seed) {
		WatchFleet fleet = started(64, ON, seed);
		List<WatchFleet.Vm> stopped = new ArrayList<>();
		while (stopped.size() < 16) {
			WatchFleet.Vm watcher = fleet.watchers()
				.stream()
				.filter((vm) -> Integer.parseInt(vm.name.substring(3)) % 3 == 0)
				.findFirst()
				.orElseThrow();
			watcher.kill();
			stopped.add(watcher);
			fleet.time.run(3_000);
		}
		fleet.time.run(600_000);
		long calls = callsOf(fleet, MINUTE_MILLIS);
		fleet.withdrawKey();
		fleet.changeReplica();
		fleet.time.run(6_000);
		assertThat(calls).isLessThanOrEqualTo(2 * callsOf(started(64, ON, seed), MINUTE_MILLIS));
		stopped.forEach(WatchFleet.Vm::start);
		fleet.time.run(900_000);
		assertThat(fleet.watchers()).hasSizeLessThanOrEqualTo(9);
		assertThat(fleet.violations).isEmpty();
	}

	/**
	 * Guards against calls of one purpose that grow with the VMs in place of the VMs that
	 * watch and have the store, and against VMs that repeat failed calls more often than
	 * each VM by itself would.
	 */
	@ParameterizedTest
	@EnumSource
	void callsOfEachPurposeGrowWithTheWatchers(Load load) {
		Purposes few = purposesOf(30, ON, load);
		Purposes many = purposesOf(95, ON, load);
		many.calls().forEach((purpose, calls) -> {
			long callsOfFew = few.calls().getOrDefault(purpose, 0L);
			long callsOfStarts = CALLS_OF_A_START * (many.starts() - few.starts());
			// The minute may begin or end between two calls of each watcher.
			long maxCalls = callsOfFew * many.watchers() / few.watchers() + many.watchers() + callsOfStarts;
			assertThat(calls).as(purpose).isLessThanOrEqualTo(maxCalls);
		});
		assertThat(retries(few)).isLessThanOrEqualTo(retries(purposesOf(30, OFF, load)));
		assertThat(retries(many)).isLessThanOrEqualTo(retries(purposesOf(95, OFF, load)));
	}

	private static long retries(Purposes purposes) {
		return purposes.calls()
			.entrySet()
			.stream()
			.filter((entry) -> entry.getKey().endsWith("retry"))
			.mapToLong(Map.Entry::getValue)
			.sum();
	}

	private static Purposes purposesOf(int vmCount, WatchOptions options, Load load) {
		WatchFleet fleet = started(vmCount, options, 10);
		fleet.time.run(MINUTE_MILLIS);
		fleet.purposes.clear();
		switch (load) {
			case CALM -> fleet.time.run(MINUTE_MILLIS);
			case ENGINES_LOST -> {
				for (int engine = 0; engine < 5; engine++) {
					fleet.changeReplica();
					fleet.time.run(200);
				}
				fleet.time.run(MINUTE_MILLIS - 1_000);
			}
			case ROLLING_RESTART -> fleet.vms.forEach((vm) -> {
				vm.kill();
				fleet.time.run(MINUTE_MILLIS / vmCount);
				vm.start();
			});
			default -> {
				fleet.vms.stream()
					.filter((vm) -> Integer.parseInt(vm.name.substring(3)) % 4 == 0)
					.forEach((vm) -> fleet.store.rejectedVms.add(vm.name));
				fleet.store.endRejectedWatches();
				fleet.time.run(MINUTE_MILLIS);
			}
		}
		assertThat(fleet.violations).isEmpty();
		LOGGER.infof("Calls by purpose: vms=%d watches=%s load=%s calls=%s", vmCount, options == ON, load,
				fleet.purposes);
		long watchers = fleet.watchers().stream().filter((vm) -> !fleet.store.rejectedVms.contains(vm.name)).count();
		return new Purposes(fleet.purposes, watchers, (load == Load.ROLLING_RESTART) ? vmCount : 0);
	}

	/**
	 * What a fleet meets within a minute.
	 */
	enum Load {

		CALM, ENGINES_LOST, ROLLING_RESTART, SOME_REJECTED

	}

	@Test
	void halfOfTheFleetMayBeOlder() {
		WatchFleet fleet = new WatchFleet(48, ON, 6);
		fleet.vms.forEach((vm) -> vm.older = Integer.parseInt(vm.name.substring(3)) % 2 == 0);
		fleet.time.run(20_000);
		for (int change = 0; change < 10; change++) {
			fleet.withdrawKey();
			fleet.changeReplica();
			fleet.time.run(6_000);
		}
		assertThat(fleet.violations).isEmpty();
	}

	/** Shows that the checks of this class find what they are for. */
	@ParameterizedTest
	@CsvSource({ "AGE,key accepted", "REVISION,step back", "DROPPED,late change" })
	void plantedFaultIsFound(Fault fault, String violation) {
		WatchFleet fleet = started(48, ON, 7);
		fleet.answerFault = fault::apply;
		for (int round = 0; round < 6; round++) {
			fleet.withdrawKey();
			fleet.changeReplica();
			fleet.time.run(7_000);
		}
		assertThat(fleet.violations).anyMatch((found) -> found.startsWith(violation));
	}

	private static WatchFleet started(int vmCount, WatchOptions options, long seed) {
		WatchFleet fleet = new WatchFleet(vmCount, options, seed);
		fleet.time.run(START_MILLIS);
		return fleet;
	}

	private static long callsOf(WatchFleet fleet, long millis) {
		long before = fleet.store.calls;
		fleet.time.run(millis);
		return fleet.store.calls - before;
	}

	private static void setAvailable(WatchFleet fleet, boolean isAvailable) {
		fleet.store.available = isAvailable;
		fleet.store.endRejectedWatches();
	}

	/**
	 * A fault of watchers.
	 */
	enum Fault {

		/** Old content is stated to be young. */
		AGE,

		/** Old content is stated to have a high revision. */
		REVISION,

		/** Changes are left out. */
		DROPPED;

		private final SplittableRandom random = new SplittableRandom(1);

		private WatchAnswer first = WatchAnswer.getDefaultInstance();

		private WatchAnswer apply(WatchAnswer answer) {
			if (answer.getStatus() != WatchAnswer.Status.STATUS_OK || answer.getContent().isEmpty()) {
				return answer;
			}
			if (this == REVISION) {
				if (this.random.nextBoolean()) {
					return answer;
				}
				this.first = this.first.getContent().isEmpty() ? answer : this.first;
				return answer.toBuilder().setContent(this.first.getContent()).build();
			}
			return answer.toBuilder().clearContent().build();
		}

	}

	/**
	 * The calls of a fleet in a minute.
	 *
	 * @param calls the calls by kind and purpose
	 * @param watchers the VMs that watch and that the store serves
	 * @param starts the VMs that have started
	 */
	private record Purposes(Map<String, Long> calls, long watchers, long starts) {

	}

}
