package org.burdocktray.process.directory;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.burdocktray.model.DataCentre;

/**
 * Decides which engines this VM asks for their load. Each engine is asked by the VM of
 * this data centre with the highest rendezvous hash, which tells the others. An engine
 * that nobody has told of for a while is asked by each VM at a moment of its own, so that
 * the first one spares the others the question. Invariant: hints only; nothing safe rests
 * on who asks. Thread safety: none, confined to one event loop.
 */
public final class ReportPollScheduler {

	private static final long LOCAL_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private static final long REMOTE_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(3);

	/** Periods after which a report counts as missed. */
	private static final int MISSED_PERIODS = 3;

	private static final int SPREAD_STEPS = 64;

	private final String vmName;

	private final DataCentre here;

	private final Map<String, Long> knownNanos = new HashMap<>();

	/** Which engines this VM asks, until the VMs change. */
	private final Map<String, Boolean> mine = new HashMap<>();

	private List<String> setVms;

	/**
	 * Creates the decision for a VM that knows no others.
	 * @param vmName the name of this VM
	 * @param here its data centre
	 */
	public ReportPollScheduler(String vmName, DataCentre here) {
		this.vmName = vmName;
		this.here = here;
		this.setVms = List.of(vmName);
	}

	/**
	 * Takes in the VMs of this data centre.
	 * @param names their names
	 */
	public void setVms(List<String> names) {
		List<String> all = new ArrayList<>(names);
		if (!all.contains(this.vmName)) {
			all.add(this.vmName);
		}
		this.setVms = List.copyOf(all);
		this.mine.clear();
	}

	/**
	 * Takes in that an engine's report has come, or that it was asked.
	 * @param engineId the engine
	 * @param nowNanos the time
	 */
	public void recordPoll(String engineId, long nowNanos) {
		this.knownNanos.put(engineId, nowNanos);
	}

	/**
	 * Returns the engines to ask.
	 * @param engines the engines that get work
	 * @param nowNanos the time
	 * @return those whose report is due from this VM
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
		Long known = this.knownNanos.get(engine.id());
		if (known == null) {
			this.knownNanos.put(engine.id(), nowNanos);
			return isMine(engine);
		}
		long period = engine.dataCentre().equals(this.here) ? LOCAL_PERIOD_NANOS : REMOTE_PERIOD_NANOS;
		long age = nowNanos - known;
		if (isMine(engine)) {
			return age >= period;
		}
		long spread = period * Math.floorMod(hash(this.vmName, engine.id()), SPREAD_STEPS) / SPREAD_STEPS;
		return age >= MISSED_PERIODS * period + MISSED_PERIODS * spread;
	}

	private boolean isMine(Replica engine) {
		return this.mine.computeIfAbsent(engine.id(), (id) -> hasHighestHash(engine));
	}

	private boolean hasHighestHash(Replica engine) {
		int own = hash(this.vmName, engine.id());
		for (String vm : this.setVms) {
			int other = hash(vm, engine.id());
			if (other > own || (other == own && vm.compareTo(this.vmName) > 0)) {
				return false;
			}
		}
		return true;
	}

	// Mixes the bits, since the hashes of like names differ in few of them.
	private static int hash(String vm, String engine) {
		int mixed = 31 * vm.hashCode() + engine.hashCode();
		mixed = (mixed ^ (mixed >>> 16)) * 0x85EBCA6B;
		mixed = (mixed ^ (mixed >>> 13)) * 0xC2B2AE35;
		return mixed ^ (mixed >>> 16);
	}

}
