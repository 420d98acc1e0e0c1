package org.burdocktray.process.directory;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.burdocktray.model.NetworkAddress;

/**
 * Which VMs have called which engines silent of late. A VM that is being cut off takes
 * one engine after the other for silent, and tells so, before it knows better; then its
 * word is withdrawn. Thread safety: none, confined to one event loop.
 */
public final class SilenceReports {

	/** How long an engine is avoided that another VM calls silent. */
	public static final long HOLD_NANOS = TimeUnit.SECONDS.toNanos(2);

	/** When each VM has said so last, by engine id. */
	private final Map<String, Map<NetworkAddress, Long>> reportedNanos = new HashMap<>();

	/**
	 * Records that a VM calls an engine silent.
	 * @param engineId the id of the engine
	 * @param vm the address of the VM
	 * @param nowNanos the current time of the monotonic clock
	 */
	public void add(String engineId, NetworkAddress vm, long nowNanos) {
		this.reportedNanos.computeIfAbsent(engineId, (id) -> new HashMap<>()).put(vm, nowNanos);
		removeExpired(nowNanos);
	}

	/**
	 * Forgets who has called an engine silent, since it has responded to a VM.
	 * @param engineId the id of the engine
	 */
	public void end(String engineId) {
		this.reportedNanos.remove(engineId);
	}

	/**
	 * Withdraws what a VM has said, since it is cut off.
	 * @param vm the address of the VM
	 * @param nowNanos the current time of the monotonic clock
	 * @return the ids of the engines that no other VM calls silent
	 */
	public List<String> withdraw(NetworkAddress vm, long nowNanos) {
		removeExpired(nowNanos);
		List<String> cleared = this.reportedNanos.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().remove(vm) != null && entry.getValue().isEmpty())
			.map(Map.Entry::getKey)
			.toList();
		cleared.forEach(this.reportedNanos::remove);
		return cleared;
	}

	private void removeExpired(long nowNanos) {
		this.reportedNanos.values().forEach((byVm) -> byVm.values().removeIf((nanos) -> nowNanos - nanos > HOLD_NANOS));
		this.reportedNanos.values().removeIf(Map::isEmpty);
	}

}
