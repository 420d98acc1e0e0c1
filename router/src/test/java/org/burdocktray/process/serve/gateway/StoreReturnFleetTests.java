package org.burdocktray.process.serve.gateway;

import java.util.SplittableRandom;

import org.burdocktray.process.settings.GatewayOptions.WatchOptions;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against VMs that miss changes after the store has returned from a copy, whether
 * they watch it or ask others, and against keys that run on since a copy lists them.
 */
class StoreReturnFleetTests {

	private static final WatchOptions ON = new WatchOptions(16, 32, 2);

	private static final long START_MILLIS = 5_000;

	private static final int ROUNDS = 8;

	private static final int MAX_AWAY_MILLIS = 1_500;

	/** Within the time that a return takes to settle. */
	private static final int MAX_WRITTEN_AGAIN_MILLIS = 1_500;

	@ParameterizedTest
	@CsvSource({ "3,1", "3,2", "9,3", "16,4", "16,5", "48,6", "95,7", "300,8" })
	void changesAfterAReturnAreLearnedInTime(int vmCount, long seed) {
		WatchFleet fleet = new WatchFleet(vmCount, ON, seed);
		SplittableRandom random = new SplittableRandom(seed);
		fleet.time.run(START_MILLIS);
		for (int round = 0; round < ROUNDS; round++) {
			VirtualStore.Copy copy = fleet.store.copy();
			writeWhatIsLost(fleet, random);
			int returns = 1 + random.nextInt(2);
			for (int count = 0; count < returns; count++) {
				returnFromCopy(fleet, copy, random);
			}
			fleet.time.run(random.nextInt(50));
			fleet.writeAgain();
			fleet.withdrawKey();
			fleet.changeReplica();
			// The revision of before the return is passed.
			fleet.writeAgain();
			fleet.time.run(9_000);
			assertThat(fleet.vms).as("round %d", round).allMatch(WatchFleet.Vm::isUpToDate);
		}
		assertThat(fleet.violations).isEmpty();
	}

	/**
	 * Guards against keys that were taken away in the seconds that the store has lost,
	 * unknown to some VMs, and that the copy confirms until the operator has written
	 * again.
	 */
	@ParameterizedTest
	@CsvSource({ "3,1", "9,2", "16,3", "95,4" })
	void keyTakenAwayInTheLostSecondsIsNotConfirmedByTheCopy(int vmCount, long seed) {
		WatchFleet fleet = new WatchFleet(vmCount, ON, seed);
		SplittableRandom random = new SplittableRandom(seed);
		fleet.time.run(START_MILLIS);
		for (int round = 0; round < ROUNDS; round++) {
			VirtualStore.Copy copy = fleet.store.copy();
			fleet.withdrawKey();
			returnFromCopy(fleet, copy, random);
			fleet.time.run(random.nextInt(MAX_WRITTEN_AGAIN_MILLIS));
			fleet.writeAgain();
			fleet.time.run(9_000);
		}
		assertThat(fleet.violations).noneMatch((violation) -> violation.startsWith("key accepted"));
		assertThat(fleet.vms).allMatch(WatchFleet.Vm::isUpToDate);
	}

	private static void writeWhatIsLost(WatchFleet fleet, SplittableRandom random) {
		for (int count = random.nextInt(4); count >= 0; count--) {
			fleet.withdrawKey();
			fleet.changeReplica();
			fleet.time.run(random.nextInt(1_000));
		}
	}

	private static void returnFromCopy(WatchFleet fleet, VirtualStore.Copy copy, SplittableRandom random) {
		fleet.store.leave();
		fleet.time.run(random.nextInt(MAX_AWAY_MILLIS));
		fleet.store.returnFrom(copy);
	}

}
