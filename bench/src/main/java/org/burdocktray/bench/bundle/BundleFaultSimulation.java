package org.burdocktray.bench.bundle;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;

import org.burdocktray.connection.platform.StoredObject;
import org.burdocktray.model.DataCentre;
import org.burdocktray.process.bundle.BundleKeys;
import org.burdocktray.version.signing.BundleCodec;
import org.burdocktray.version.signing.SignedBundle;

/**
 * Simulates one random schedule of faults: operators that roll bundles concurrently, a
 * store with outages and lost responses, data centres that are disconnected and
 * reconnected, VMs that are restarted and paused. Counts violations of the guarantees for
 * bundles. Thread safety: one thread.
 */
final class BundleFaultSimulation {

	/** Maximum time from the roll of a bundle until all VMs have it in force. */
	static final int MAX_PROPAGATION_MILLIS = 15_000;

	private static final int VM_COUNT = 9;

	private static final int DATA_CENTRE_COUNT = 3;

	private static final int FAULT_PHASE_MILLIS = 60_000;

	private static final int ROUND_COUNT = 5;

	private static final int FAULT_COUNT = 8;

	private static final int MAX_FAULT_DURATION_MILLIS = 12_000;

	private static final int RESTART_DURATION_MILLIS = 300;

	private static final int MAX_PEER_DELAY_MILLIS = 1_500;

	private static final double RESPONSE_LOSS_RATE = 0.25;

	private static final int OPERATOR_TIMEOUT_MILLIS = 45_000;

	private final SimulatedFleet fleet;

	private final List<SimulatedOperator> operators = new ArrayList<>();

	private final Random random;

	private long newestRolled;

	private int boundChecks;

	private int lateVms;

	private long platformFaultUntilMillis = -1;

	BundleFaultSimulation(long seed, SigningFixture signing, SimulatedFleet.Options options) {
		this.fleet = new SimulatedFleet(VM_COUNT, DATA_CENTRE_COUNT, seed, signing, options, this::onWrite);
		this.random = this.fleet.random();
	}

	SimulatedFleet fleet() {
		return this.fleet;
	}

	Counts run() {
		this.fleet.start();
		for (int round = 0; round < ROUND_COUNT; round++) {
			this.fleet.schedule(this.random.nextInt(FAULT_PHASE_MILLIS), this::startConcurrentOperators);
		}
		for (int fault = 0; fault < FAULT_COUNT; fault++) {
			this.fleet.schedule(this.random.nextInt(FAULT_PHASE_MILLIS), this::injectRandomFault);
		}
		this.fleet.setMaxPeerDelayMillis(this.random.nextInt(MAX_PEER_DELAY_MILLIS));
		// By the end of this time all faults are over and all delayed writes applied.
		this.fleet.advanceTime(FAULT_PHASE_MILLIS + MAX_FAULT_DURATION_MILLIS + OPERATOR_TIMEOUT_MILLIS);
		this.fleet.advanceTime(MAX_PROPAGATION_MILLIS);
		long behind = this.fleet.vms().stream().filter((vm) -> vm.currentVersion() < this.newestRolled).count();
		return new Counts(this.newestRolled, countReversals(), countRestartReversals(), countForks(), this.boundChecks,
				this.lateVms, (int) behind, countWrongResults(), countStaleReplies());
	}

	private void startConcurrentOperators() {
		long version = this.newestRolled + 1;
		for (String name : SigningFixture.OPERATORS) {
			SimulatedOperator operator = new SimulatedOperator(this.fleet, name, version, this.operators.size());
			this.operators.add(operator);
			this.fleet.schedule(this.random.nextInt(1_000), operator::start);
		}
	}

	private void injectRandomFault() {
		int millis = 1 + this.random.nextInt(MAX_FAULT_DURATION_MILLIS);
		SimulatedVm vm = this.fleet.vms().get(this.random.nextInt(VM_COUNT));
		DataCentre dataCentre = vm.vm().dataCentre();
		switch (this.random.nextInt(6)) {
			case 0:
				recordPlatformFault(millis);
				this.fleet.store().setDown(true);
				this.fleet.vms().forEach(SimulatedVm::onPlatformDisconnected);
				this.fleet.schedule(millis, () -> this.fleet.store().setDown(false));
				break;
			case 1:
				recordPlatformFault(millis);
				this.fleet.store().setResponseLossRate(RESPONSE_LOSS_RATE);
				this.fleet.schedule(millis, () -> this.fleet.store().setResponseLossRate(0));
				break;
			case 2:
				this.fleet.disconnect(dataCentre, true, this.random.nextBoolean());
				this.fleet.vms()
					.stream()
					.filter((affected) -> affected.vm().dataCentre().equals(dataCentre))
					.forEach((affected) -> affected.recordFault(millis));
				this.fleet.schedule(millis, () -> this.fleet.reconnect(dataCentre));
				break;
			case 3:
				vm.pause(millis);
				break;
			default:
				restart(vm);
		}
	}

	private void restart(SimulatedVm vm) {
		if (!vm.isUp()) {
			return;
		}
		vm.stop();
		vm.recordFault(RESTART_DURATION_MILLIS);
		this.fleet.schedule(RESTART_DURATION_MILLIS, vm::start);
	}

	private void recordPlatformFault(int millis) {
		this.platformFaultUntilMillis = Math.max(this.platformFaultUntilMillis, this.fleet.nowMillis() + millis);
	}

	private void onWrite(StoredObject object) {
		OptionalLong version = BundleKeys.rolledVersion(object.key());
		if (version.isEmpty()) {
			return;
		}
		this.newestRolled = Math.max(this.newestRolled, version.getAsLong());
		long writtenAtMillis = this.fleet.nowMillis();
		this.fleet.schedule(MAX_PROPAGATION_MILLIS, () -> countLateVms(version.getAsLong(), writtenAtMillis));
	}

	private void countLateVms(long version, long sinceMillis) {
		if (this.platformFaultUntilMillis >= sinceMillis) {
			return;
		}
		List<SimulatedVm> faultFreeVms = this.fleet.vms()
			.stream()
			.filter((vm) -> vm.isUp() && vm.isFaultFreeSince(sinceMillis))
			.toList();
		this.boundChecks += faultFreeVms.size();
		this.lateVms += (int) faultFreeVms.stream().filter((vm) -> vm.currentVersion() < version).count();
	}

	private int countReversals() {
		int count = 0;
		for (SimulatedVm vm : this.fleet.vms()) {
			List<SimulatedVm.Activation> activations = vm.activations();
			for (int index = 1; index < activations.size(); index++) {
				boolean sameProcess = activations.get(index).processNumber() == activations.get(index - 1)
					.processNumber();
				count += (sameProcess && activations.get(index).version() <= activations.get(index - 1).version()) ? 1
						: 0;
			}
		}
		return count;
	}

	private int countRestartReversals() {
		int count = 0;
		for (SimulatedVm vm : this.fleet.vms()) {
			long highestVersion = 0;
			for (SimulatedVm.Activation activation : vm.activations()) {
				count += (activation.platformReachableSinceStart() && activation.version() < highestVersion) ? 1 : 0;
				highestVersion = Math.max(highestVersion, activation.version());
			}
		}
		return count;
	}

	private int countForks() {
		Map<Long, Set<String>> contentLabels = new HashMap<>();
		this.fleet.vms()
			.stream()
			.flatMap((vm) -> vm.activations().stream())
			.forEach((activation) -> contentLabels.computeIfAbsent(activation.version(), (version) -> new HashSet<>())
				.add(activation.contentLabel()));
		return (int) contentLabels.values().stream().filter((labels) -> labels.size() > 1).count();
	}

	private int countWrongResults() {
		return (int) this.operators.stream()
			.filter((operator) -> !operator.isOutcomeConsistent(rolledDigest(operator.version())))
			.count();
	}

	private Optional<String> rolledDigest(long version) {
		return this.fleet.store()
			.findObject(BundleKeys.rolled(version))
			.flatMap((object) -> BundleCodec.read(object.value(), SignedBundle.class))
			.map(SignedBundle::contentDigest);
	}

	private int countStaleReplies() {
		return this.fleet.vms().stream().mapToInt(SimulatedVm::staleReplies).sum();
	}

	/**
	 * The counted events and violations. The names of the components are printed. Thread
	 * safety: immutable.
	 *
	 * @param rolled the number of rolled bundles
	 * @param reversals how often a process put a version in force that was not newer than
	 * its previous one
	 * @param restartReversals how often a restarted VM that reached the platform put a
	 * version in force that was older than one of an earlier process of this VM
	 * @param forks the number of versions of which different contents were in force
	 * @param boundChecks how often the bound was checked for a VM without faults
	 * @param lateVms how often a VM without faults did not have a bundle in force within
	 * the bound
	 * @param behind the number of VMs without the newest bundle when the bound has passed
	 * after all faults
	 * @param untruths the number of operators whose result contradicts the store
	 * @param olderArrivals the number of peer replies with a version older than the one
	 * in force
	 */
	record Counts(long rolled, int reversals, int restartReversals, int forks, int boundChecks, int lateVms, int behind,
			int untruths, int olderArrivals) {

		static Counts zero() {
			return new Counts(0, 0, 0, 0, 0, 0, 0, 0, 0);
		}

		boolean hasNoViolations() {
			return this.reversals + this.restartReversals + this.forks + this.lateVms + this.behind
					+ this.untruths == 0;
		}

		Counts plus(Counts other) {
			return new Counts(this.rolled + other.rolled, this.reversals + other.reversals,
					this.restartReversals + other.restartReversals, this.forks + other.forks,
					this.boundChecks + other.boundChecks, this.lateVms + other.lateVms, this.behind + other.behind,
					this.untruths + other.untruths, this.olderArrivals + other.olderArrivals);
		}

	}

}
