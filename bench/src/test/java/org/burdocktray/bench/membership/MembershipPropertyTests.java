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
 * What membership must come to after failures, over many seeds in virtual time.
 */
class MembershipPropertyTests {

	private static final DataCentre GHENT = new DataCentre("ghent");

	private static final DataCentre LEUVEN = new DataCentre("leuven");

	private static final DataCentre NAMUR = new DataCentre("namur");

	private static final int VMS = 18;

	private static final long JOIN_MILLIS = 15_000;

	private static final long CONVERGENCE_MILLIS = 30_000;

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10 })
	void allVmsFindEachOtherFromThreeSeeds(long seed) {
		VirtualFleet fleet = joined(seed);
		assertConverged(fleet);
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10 })
	void killedVmsAreNoticedByAll(long seed) {
		VirtualFleet fleet = joined(seed);
		SplittableRandom random = new SplittableRandom(seed);
		for (int kill = 0; kill < 5; kill++) {
			fleet.kill(fleet.startedVms().get(random.nextInt(VMS)));
		}
		fleet.clock().runForMillis(CONVERGENCE_MILLIS);
		assertConverged(fleet);
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void aCutDataCentreIsNoticedOnBothSidesAndJoinsAgain(long seed) {
		VirtualFleet fleet = joined(seed);
		fleet.isolate(NAMUR);
		fleet.clock().runForMillis(CONVERGENCE_MILLIS);
		assertConverged(fleet);
		assertThat(fleet.startedVms().get(0).membership().view().isReachable(NAMUR)).isFalse();
		fleet.clock().runForMillis(3_600_000);
		fleet.healPartitions();
		fleet.clock().runForMillis(CONVERGENCE_MILLIS);
		assertConverged(fleet);
		assertThat(fleet.startedVms().get(0).membership().view().isReachable(NAMUR)).isTrue();
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10 })
	void aPausedVmComesBackWithoutHarmToOthers(long seed) {
		VirtualFleet fleet = joined(seed);
		VirtualVm paused = fleet.startedVms().get(4);
		fleet.pause(paused);
		fleet.clock().runForMillis(CONVERGENCE_MILLIS);
		assertConverged(fleet);
		fleet.resume(paused);
		fleet.clock().runForMillis(CONVERGENCE_MILLIS);
		assertConverged(fleet);
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10 })
	void aReplacedVmBeatsItsPausedPredecessor(long seed) {
		VirtualFleet fleet = joined(seed);
		VirtualVm old = fleet.startedVms().get(4);
		fleet.pause(old);
		VirtualVm replacement = fleet.start(old.vm().name(), old.vm().dataCentre(), 1_000, List.of());
		fleet.clock().runForMillis(CONVERGENCE_MILLIS);
		fleet.resume(old);
		fleet.clock().runForMillis(CONVERGENCE_MILLIS);
		assertThat(old.membership().view().superseded()).isTrue();
		assertThat(replacement.membership().view().superseded()).isFalse();
		assertThat(fleet.startedVms()).filteredOn((vm) -> vm != old && vm != replacement)
			.allSatisfy((vm) -> assertThat(vm.membership().view().aliveOthers()).extracting(Member::vm)
				.contains(replacement.vm())
				.doesNotContain(old.vm()));
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void aReplacedVmWithALaggingClockIsTakenInAfterItsPredecessorIsDead(long seed) {
		VirtualFleet fleet = joined(seed);
		VirtualVm old = fleet.startedVms().get(4);
		fleet.kill(old);
		fleet.start(old.vm().name(), old.vm().dataCentre(), 0, List.of());
		fleet.clock().runForMillis(2 * CONVERGENCE_MILLIS);
		assertConverged(fleet);
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void aLeavingVmIsKnownToAllWithinThreeSeconds(long seed) {
		VirtualFleet fleet = joined(seed);
		VirtualVm leaving = fleet.startedVms().get(7);
		fleet.perform(leaving, leaving.membership().leave());
		fleet.clock().runForMillis(3_000);
		assertThat(fleet.startedVms()).filteredOn((vm) -> vm != leaving)
			.allSatisfy((vm) -> assertThat(vm.membership().view().aliveOthers()).extracting(Member::vm)
				.doesNotContain(leaving.vm()));
	}

	private static VirtualFleet joined(long seed) {
		VirtualFleet fleet = new VirtualFleet(seed, MembershipSettings.defaults());
		fleet.startAll(VMS, List.of(GHENT, LEUVEN, NAMUR));
		fleet.clock().runForMillis(JOIN_MILLIS);
		return fleet;
	}

	// Each responsive VM believes exactly those alive that are responsive and connected
	// to
	// it.
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
