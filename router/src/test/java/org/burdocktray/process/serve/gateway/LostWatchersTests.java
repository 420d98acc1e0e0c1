package org.burdocktray.process.serve.gateway;

import java.util.List;
import java.util.SplittableRandom;

import org.burdocktray.process.settings.GatewayOptions.WatchOptions;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against VMs that learn of changes later than the deployment's bounds allow,
 * since all watchers of their data centre have lost the store and notice it late.
 */
class LostWatchersTests {

	private static final WatchOptions ON = new WatchOptions(16, 32, 2);

	private static final long START_MILLIS = 25_000;

	private static final long BETWEEN_ROUNDS_MILLIS = 40_000;

	private static final int ROUNDS = 12;

	@ParameterizedTest
	@CsvSource({ "16,2000,1", "16,2000,2", "18,2000,3", "48,2000,4", "95,2000,5", "16,3000,6", "18,3000,7", "95,3000,8",
			"300,3000,9" })
	void changesAreKnownInTimeWhenTheStoreTurnsTheWatchersAway(int vmCount, long boundMillis, long seed) {
		WatchFleet fleet = new WatchFleet(vmCount, ON, seed, boundMillis);
		fleet.time.run(START_MILLIS);
		play(fleet, Loss.SILENCE, seed);
		assertThat(fleet.violations).isEmpty();
	}

	@ParameterizedTest
	@EnumSource
	void changesAreKnownInTimeWhateverTheLoss(Loss loss) {
		WatchFleet fleet = new WatchFleet(18, ON, 11, 2_000);
		fleet.time.run(START_MILLIS);
		play(fleet, loss, 11);
		assertThat(fleet.violations).isEmpty();
	}

	/**
	 * Guards against the same in a fleet of which most registered VMs are gone: it shares
	 * watches although it is small, and asks VMs that don't answer.
	 */
	@ParameterizedTest
	@CsvSource({ "2000,1", "2000,2", "2000,3", "3000,4", "3000,5" })
	void changesAreKnownInTimeWhereMachinesWereReplaced(long boundMillis, long seed) {
		WatchFleet fleet = new WatchFleet(16, ON, seed, boundMillis);
		fleet.time.run(START_MILLIS);
		// Three VMs of one data centre are left, and three others.
		fleet.vms.stream()
			.filter((vm) -> !List.of("vm-0", "vm-3", "vm-6", "vm-1", "vm-4", "vm-2").contains(vm.name))
			.forEach((vm) -> {
				vm.kill();
				vm.cutOffFromPeers();
			});
		fleet.time.run(START_MILLIS);
		play(fleet, Loss.SILENCE, seed);
		assertThat(fleet.violations).isEmpty();
	}

	private static void play(WatchFleet fleet, Loss loss, long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		for (int round = 0; round < ROUNDS; round++) {
			List<WatchFleet.Vm> lost = fleet.watchers()
				.stream()
				.filter((vm) -> Integer.parseInt(vm.name.substring(3)) % 3 == 0)
				.toList();
			fleet.time.run(random.nextInt(1_000));
			lost.forEach((vm) -> loss.apply(fleet, vm));
			fleet.time.run(random.nextInt(100));
			fleet.withdrawKey();
			fleet.changeReplica();
			fleet.time.run(150);
			fleet.changeReplica();
			fleet.time.run(6_000);
			fleet.store.rejectedVms.clear();
			lost.forEach((vm) -> {
				vm.reconnect();
				if (vm.killed) {
					vm.start();
				}
			});
			fleet.time.run(BETWEEN_ROUNDS_MILLIS);
		}
	}

	/**
	 * How watchers lose the store.
	 */
	private enum Loss {

		SILENCE {
			@Override
			void apply(WatchFleet fleet, WatchFleet.Vm watcher) {
				watcher.cutOffFromStore();
			}
		},

		REJECTION {
			@Override
			void apply(WatchFleet fleet, WatchFleet.Vm watcher) {
				fleet.store.rejectedVms.add(watcher.name);
				fleet.store.endRejectedWatches();
			}
		},

		FREEZE {
			@Override
			void apply(WatchFleet fleet, WatchFleet.Vm watcher) {
				fleet.freeze(watcher, 5_000);
			}
		},

		END {
			@Override
			void apply(WatchFleet fleet, WatchFleet.Vm watcher) {
				watcher.kill();
			}
		};

		abstract void apply(WatchFleet fleet, WatchFleet.Vm watcher);

	}

}
