package org.burdocktray.process.directory;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.burdocktray.model.DataCentre;

/**
 * Decides which engines this VM polls for load reports. Each engine is polled by the VM
 * of this data centre with the highest rendezvous hash, which shares the report with the
 * other VMs. If no report of an engine arrives for several intervals, each other VM polls
 * it after a delay of its own, so that the first of them makes the other polls
 * unnecessary. Load reports are hints only: correctness does not depend on which VM
 * polls. Thread safety: none, confined to one event loop.
 */
public final class ReportPollScheduler {

	private static final long LOCAL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	/** The interval for engines of other data centres, the longest one. */
	public static final long REMOTE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(3);

	/** Intervals without a report after which the other VMs poll the engine. */
	private static final int MISSED_INTERVALS = 3;

	private static final int FALLBACK_STEPS = 64;

	private final String vmName;

	private final DataCentre localDataCentre;

	private final Map<String, Long> lastPollNanos = new HashMap<>();

	/** Whether this VM polls an engine, by engine id. Cleared when the VMs change. */
	private final Map<String, Boolean> assignedToThisVm = new HashMap<>();

	private List<String> vmNames;

	/**
	 * Creates a scheduler without other VMs.
	 * @param vmName the name of this VM
	 * @param localDataCentre the data centre of this VM
	 */
	public ReportPollScheduler(String vmName, DataCentre localDataCentre) {
		this.vmName = vmName;
		this.localDataCentre = localDataCentre;
		this.vmNames = List.of(vmName);
	}

	/**
	 * Sets the VMs of this data centre.
	 * @param names the names of the VMs; the name of this VM may be missing
	 */
	public void setVms(List<String> names) {
		List<String> withOwnName = new ArrayList<>(names);
		if (!withOwnName.contains(this.vmName)) {
			withOwnName.add(this.vmName);
		}
		this.vmNames = List.copyOf(withOwnName);
		this.assignedToThisVm.clear();
	}

	/**
	 * Records that a report of an engine was received from another VM or requested by
	 * this one.
	 * @param engineId the id of the engine
	 * @param nowNanos the current time of the monotonic clock
	 */
	public void recordPoll(String engineId, long nowNanos) {
		this.lastPollNanos.put(engineId, nowNanos);
	}

	/**
	 * Returns the engines that this VM has to poll now.
	 * @param engines the usable engines
	 * @param nowNanos the current time of the monotonic clock
	 * @return the engines whose poll is due
	 */
	public List<Replica> due(List<Replica> engines, long nowNanos) {
		List<Replica> due = new ArrayList<>();
		for (Replica engine : engines) {
			if (isDue(engine, nowNanos)) {
				due.add(engine);
			}
		}
		return due;
	}

	private boolean isDue(Replica engine, long nowNanos) {
		Long lastPoll = this.lastPollNanos.get(engine.id());
		if (lastPoll == null) {
			this.lastPollNanos.put(engine.id(), nowNanos);
			return isAssignedToThisVm(engine);
		}
		long interval = engine.dataCentre().equals(this.localDataCentre) ? LOCAL_INTERVAL_NANOS : REMOTE_INTERVAL_NANOS;
		long age = nowNanos - lastPoll;
		if (isAssignedToThisVm(engine)) {
			return age >= interval;
		}
		long fallbackDelay = interval * Math.floorMod(hash(this.vmName, engine.id()), FALLBACK_STEPS) / FALLBACK_STEPS;
		return age >= MISSED_INTERVALS * interval + MISSED_INTERVALS * fallbackDelay;
	}

	private boolean isAssignedToThisVm(Replica engine) {
		return this.assignedToThisVm.computeIfAbsent(engine.id(), (id) -> hasHighestHash(engine));
	}

	private boolean hasHighestHash(Replica engine) {
		int ownHash = hash(this.vmName, engine.id());
		for (String vm : this.vmNames) {
			int vmHash = hash(vm, engine.id());
			if (vmHash > ownHash || (vmHash == ownHash && vm.compareTo(this.vmName) > 0)) {
				return false;
			}
		}
		return true;
	}

	// Mixes the bits, because the hash codes of similar names differ in few bits.
	private static int hash(String vm, String engine) {
		int mixed = 31 * vm.hashCode() + engine.hashCode();
		mixed = (mixed ^ (mixed >>> 16)) * 0x85EBCA6B;
		mixed = (mixed ^ (mixed >>> 13)) * 0xC2B2AE35;
		return mixed ^ (mixed >>> 16);
	}

}
