package org.burdocktray.bench.membership;

import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;

import org.burdocktray.model.DataCentre;
import org.burdocktray.process.membership.Member;
import org.burdocktray.process.membership.MembershipSettings;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks that the membership views of all VMs converge after failures, for many seeds in
 * virtual time.
 */
class MembershipPropertyTests {

	private static final DataCentre GHENT = new DataCentre("ghent");

	private static final DataCentre LEUVEN = new DataCentre("leuven");

	private static final DataCentre NAMUR = new DataCentre("namur");

	private static final int VM_COUNT = 18;

	private static final long JOIN_DURATION_MILLIS = 15_000;

	private static final long MAX_CONVERGENCE_MILLIS = 30_000;

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10 })
	void allVmsDiscoverEachOtherFromThreeSeedPeers(long seed) {
		VirtualFleet fleet = startJoinedFleet(seed);
		assertConverged(fleet);
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10 })
	void failedVmsAreDetectedByAllVms(long seed) {
		VirtualFleet fleet = startJoinedFleet(seed);
		SplittableRandom random = new SplittableRandom(seed);
		for (int count = 0; count < 5; count++) {
			fleet.kill(fleet.startedVms().get(random.nextInt(VM_COUNT)));
		}
		fleet.clock().runForMillis(MAX_CONVERGENCE_MILLIS);
		assertConverged(fleet);
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void isolatedDataCentreIsDetectedInBothPartitionsAndRejoins(long seed) {
		VirtualFleet fleet = startJoinedFleet(seed);
		fleet.isolate(NAMUR);
		fleet.clock().runForMillis(MAX_CONVERGENCE_MILLIS);
		assertConverged(fleet);
		assertThat(fleet.startedVms().get(0).membership().view().isReachable(NAMUR)).isFalse();
		fleet.clock().runForMillis(3_600_000);
		fleet.healPartitions();
		fleet.clock().runForMillis(MAX_CONVERGENCE_MILLIS);
		assertConverged(fleet);
		assertThat(fleet.startedVms().get(0).membership().view().isReachable(NAMUR)).isTrue();
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10 })
	void pausedVmRejoinsWithoutAffectingOthers(long seed) {
		VirtualFleet fleet = startJoinedFleet(seed);
		VirtualVm paused = fleet.startedVms().get(4);
		fleet.pause(paused);
		fleet.clock().runForMillis(MAX_CONVERGENCE_MILLIS);
		assertConverged(fleet);
		fleet.resume(paused);
		fleet.clock().runForMillis(MAX_CONVERGENCE_MILLIS);
		assertConverged(fleet);
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10 })
	void replacementSupersedesPausedPredecessor(long seed) {
		VirtualFleet fleet = startJoinedFleet(seed);
		VirtualVm predecessor = fleet.startedVms().get(4);
		fleet.pause(predecessor);
		VirtualVm replacement = fleet.start(predecessor.vm().name(), predecessor.vm().dataCentre(), 1_000, List.of());
		fleet.clock().runForMillis(MAX_CONVERGENCE_MILLIS);
		fleet.resume(predecessor);
		fleet.clock().runForMillis(MAX_CONVERGENCE_MILLIS);
		assertThat(predecessor.membership().view().superseded()).isTrue();
		assertThat(replacement.membership().view().superseded()).isFalse();
		assertThat(fleet.startedVms()).filteredOn((vm) -> vm != predecessor && vm != replacement)
			.allSatisfy((vm) -> assertThat(vm.membership().view().aliveOthers()).extracting(Member::vm)
				.contains(replacement.vm())
				.doesNotContain(predecessor.vm()));
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void replacementWithLaggingClockJoinsAfterPredecessorIsDead(long seed) {
		VirtualFleet fleet = startJoinedFleet(seed);
		VirtualVm predecessor = fleet.startedVms().get(4);
		fleet.kill(predecessor);
		fleet.start(predecessor.vm().name(), predecessor.vm().dataCentre(), 0, List.of());
		fleet.clock().runForMillis(2 * MAX_CONVERGENCE_MILLIS);
		assertConverged(fleet);
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void leavingVmIsRemovedFromAllViewsWithinThreeSeconds(long seed) {
		VirtualFleet fleet = startJoinedFleet(seed);
		VirtualVm leaving = fleet.startedVms().get(7);
		fleet.perform(leaving, leaving.membership().leave());
		fleet.clock().runForMillis(3_000);
		assertThat(fleet.startedVms()).filteredOn((vm) -> vm != leaving)
			.allSatisfy((vm) -> assertThat(vm.membership().view().aliveOthers()).extracting(Member::vm)
				.doesNotContain(leaving.vm()));
	}

	private static VirtualFleet startJoinedFleet(long seed) {
		VirtualFleet fleet = new VirtualFleet(seed, MembershipSettings.defaults());
		fleet.startAll(VM_COUNT, List.of(GHENT, LEUVEN, NAMUR));
		fleet.clock().runForMillis(JOIN_DURATION_MILLIS);
		return fleet;
	}

	// The view of each responsive VM lists as alive exactly the other responsive VMs that
	// are connected to it.
	private static void assertConverged(VirtualFleet fleet) {
		List<VirtualVm> responsive = fleet.startedVms().stream().filter(VirtualVm::isResponsive).toList();
		for (VirtualVm vm : responsive) {
			Set<String> expected = responsive.stream()
				.filter((other) -> other != vm && fleet.isConnected(vm, other))
				.map((other) -> other.vm().name())
				.collect(Collectors.toSet());
			assertThat(vm.membership().view().aliveOthers()).as("view of %s", vm.vm().name())
				.extracting(Member::name)
				.containsExactlyInAnyOrderElementsOf(expected);
		}
	}

}
