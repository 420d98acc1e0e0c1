package org.burdocktray.bench.bundle;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import org.burdocktray.connection.platform.StoredObject;
import org.burdocktray.model.DataCentre;
import org.burdocktray.process.bundle.BundleKeys;

/**
 * Rolls bundles at the target rate in a fleet with one data centre that is disconnected
 * for a time, and records how long the bundles take to be in force at each VM. Thread
 * safety: one thread.
 */
final class BundlePropagationRun {

	static final int CHANGES_PER_DAY = 7_800;

	private static final int ROLL_INTERVAL_MILLIS = 24 * 3_600 * 1_000 / CHANGES_PER_DAY;

	// Version 1 is in force before the measurement starts.
	private static final int FIRST_VERSION = 2;

	private static final int DATA_CENTRE_COUNT = 9;

	private static final int WARM_UP_MILLIS = 10_000;

	private static final int DISCONNECTION_MILLIS = 40_000;

	private static final int SETTLE_MILLIS = 90_000;

	private static final int MAX_PEER_DELAY_MILLIS = 60;

	private static final DataCentre DISCONNECTED_DATA_CENTRE = new DataCentre("dc0");

	private final SimulatedFleet fleet;

	private final int rollCount;

	private final List<Long> rolledAtMillis = new ArrayList<>();

	private final List<Long> propagationMillis = new ArrayList<>();

	private final List<Long> catchUpMillis = new ArrayList<>();

	private long elapsedMillis;

	private long callCount;

	BundlePropagationRun(int vmCount, int rollCount, long seed, SigningFixture signing,
			SimulatedFleet.Options options) {
		this.fleet = new SimulatedFleet(vmCount, DATA_CENTRE_COUNT, seed, signing, options, this::onWrite);
		this.fleet.setMaxPeerDelayMillis(MAX_PEER_DELAY_MILLIS);
		this.rollCount = rollCount;
	}

	void run() {
		new SimulatedOperator(this.fleet, "els", 1, 0).start();
		this.fleet.start();
		this.fleet.advanceTime(WARM_UP_MILLIS);
		this.fleet.vms().forEach((vm) -> vm.traffic().reset());
		long callsBefore = this.fleet.store().callCount();
		long startedAtMillis = this.fleet.nowMillis();
		for (int roll = 0; roll < this.rollCount; roll++) {
			long version = roll + FIRST_VERSION;
			this.fleet.schedule((long) roll * ROLL_INTERVAL_MILLIS,
					() -> new SimulatedOperator(this.fleet, "els", version, 0).start());
		}
		long rollingMillis = (long) this.rollCount * ROLL_INTERVAL_MILLIS;
		this.fleet.advanceTime(rollingMillis / 2);
		this.fleet.disconnect(DISCONNECTED_DATA_CENTRE, true, true);
		this.fleet.advanceTime(DISCONNECTION_MILLIS);
		this.fleet.reconnect(DISCONNECTED_DATA_CENTRE);
		long reconnectedAtMillis = this.fleet.nowMillis();
		this.fleet.advanceTime(Math.max(0, rollingMillis / 2 - DISCONNECTION_MILLIS));
		this.elapsedMillis = this.fleet.nowMillis() - startedAtMillis;
		this.callCount = this.fleet.store().callCount() - callsBefore;
		this.fleet.advanceTime(SETTLE_MILLIS);
		this.fleet.vms().forEach((vm) -> recordPropagationTimes(vm, reconnectedAtMillis));
	}

	/**
	 * Returns the times from the roll of a bundle until it is in force, at VMs that were
	 * connected all that time.
	 * @return the times in milliseconds, ascending
	 */
	List<Long> propagationMillis() {
		return this.propagationMillis.stream().sorted().toList();
	}

	/**
	 * Returns the times from reconnection until the bundles rolled before it are in
	 * force, at the VMs that were disconnected.
	 * @return the times in milliseconds, ascending
	 */
	List<Long> catchUpMillis() {
		return this.catchUpMillis.stream().sorted().toList();
	}

	double platformCallsPerSecond() {
		return this.callCount * 1_000.0 / this.elapsedMillis;
	}

	/**
	 * Returns the bytes of bundles that each VM receives and sends per second.
	 * @param completeBytes the size of a complete bundle
	 * @param deltaBytes the size of a delta
	 * @return the rates in bytes per second, ascending
	 */
	List<Long> bytesPerSecond(long completeBytes, long deltaBytes) {
		return this.fleet.vms()
			.stream()
			.map(SimulatedVm::traffic)
			.map((traffic) -> traffic.receivedBytes(completeBytes, deltaBytes)
					+ traffic.sentBytes(completeBytes, deltaBytes))
			.map((bytes) -> bytes * 1_000 / this.elapsedMillis)
			.sorted()
			.toList();
	}

	private void onWrite(StoredObject object) {
		OptionalLong version = BundleKeys.rolledVersion(object.key());
		if (version.isPresent()) {
			this.rolledAtMillis.add(this.fleet.nowMillis());
		}
	}

	private void recordPropagationTimes(SimulatedVm vm, long reconnectedAtMillis) {
		long disconnectedAtMillis = reconnectedAtMillis - DISCONNECTION_MILLIS;
		for (int version = FIRST_VERSION; version <= this.rolledAtMillis.size(); version++) {
			long versionRolledAtMillis = this.rolledAtMillis.get(version - 1);
			long inForceAtMillis = findInForceMillis(vm, version);
			boolean affectedByDisconnection = vm.vm().dataCentre().equals(DISCONNECTED_DATA_CENTRE)
					&& versionRolledAtMillis < reconnectedAtMillis
					&& versionRolledAtMillis >= disconnectedAtMillis - BundleFaultSimulation.MAX_PROPAGATION_MILLIS;
			if (!affectedByDisconnection) {
				this.propagationMillis.add(inForceAtMillis - versionRolledAtMillis);
			}
			else if (inForceAtMillis >= reconnectedAtMillis) {
				this.catchUpMillis.add(inForceAtMillis - reconnectedAtMillis);
			}
		}
	}

	private long findInForceMillis(SimulatedVm vm, long version) {
		return vm.activations()
			.stream()
			.filter((activation) -> activation.version() >= version)
			.mapToLong(SimulatedVm.Activation::atMillis)
			.findFirst()
			.orElse(this.fleet.nowMillis());
	}

}
