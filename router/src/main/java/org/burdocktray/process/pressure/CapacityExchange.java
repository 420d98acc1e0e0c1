package org.burdocktray.process.pressure;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.burdocktray.connection.peer.generated.SharedLoads;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.process.demand.DemandExchange.Outgoing;

/**
 * Exchanges the free capacity of the VMs of one data centre, in the messages in which
 * they exchange demand: each VM reports to the collectors, which send the VMs with the
 * most free capacity to all. So what a VM sends and receives does not grow with the
 * fleet. Values of other VMs are hints: only registered VMs of this data centre count,
 * free capacity is limited to the registered cores, and nothing counts after
 * {@link #MAX_AGE_NANOS}. Thread safety: none, confined to one event loop.
 */
public final class CapacityExchange {

	static final long MAX_AGE_NANOS = TimeUnit.SECONDS.toNanos(3);

	/** Bounds a sum, so that it fits into one datagram beside a small report. */
	static final int MAX_VMS_PER_SUM = 12;

	/** Beyond it, capacity is sent in a datagram of its own. */
	private static final int MAX_MESSAGE_BYTES = 1_100;

	private final NetworkAddress ownAddress;

	/** Reports that VMs have sent to this one as a collector. */
	private final Map<NetworkAddress, VmCapacity> reports = new HashMap<>();

	/** The latest sum of each collector; it replaces the one before. */
	private final Map<NetworkAddress, ReceivedSum> sums = new HashMap<>();

	/** The cores of the registered VMs of this data centre. */
	private Map<NetworkAddress, Double> localVms = Map.of();

	/**
	 * Creates an exchange without other VMs.
	 * @param ownAddress the address at which this VM receives messages
	 */
	public CapacityExchange(NetworkAddress ownAddress) {
		this.ownAddress = ownAddress;
	}

	/**
	 * Sets the registered VMs of this data centre.
	 * @param cores their cores by their address, 0 if unknown; may include this VM
	 */
	public void setVms(Map<NetworkAddress, Double> cores) {
		this.localVms = Map.copyOf(cores);
		this.reports.keySet().retainAll(cores.keySet());
		this.sums.keySet().retainAll(cores.keySet());
	}

	/**
	 * Adds free capacity to the messages about demand that are due.
	 * @param messages the messages
	 * @param freeCores the free cores of this VM
	 * @param underPressure whether this VM is under pressure
	 * @param nowNanos the current time of the monotonic clock
	 * @return the messages to send
	 */
	public List<Outgoing> addTo(List<Outgoing> messages, double freeCores, boolean underPressure, long nowNanos) {
		removeOld(nowNanos);
		CapacityCodec.Entry own = new CapacityCodec.Entry("", freeCores, underPressure, 0);
		List<Outgoing> result = new ArrayList<>();
		boolean isSumSent = false;
		for (Outgoing outgoing : messages) {
			if (outgoing.message().hasDemand()) {
				add(result, outgoing, CapacityCodec.withCapacity(SharedLoads.getDefaultInstance(), own));
			}
			else if (!isSumSent && isForLocalVms(outgoing)) {
				receive(this.ownAddress, own, nowNanos);
				add(result, outgoing, CapacityCodec.withSum(SharedLoads.getDefaultInstance(), createSum(nowNanos)));
				isSumSent = true;
			}
			else {
				result.add(outgoing);
			}
		}
		return result;
	}

	private boolean isForLocalVms(Outgoing outgoing) {
		return outgoing.message().getDemandSumsCount() > 0 && this.localVms.keySet().containsAll(outgoing.receivers());
	}

	private static void add(List<Outgoing> result, Outgoing outgoing, SharedLoads capacity) {
		SharedLoads merged = outgoing.message().toBuilder().mergeFrom(capacity).build();
		if (merged.getSerializedSize() <= MAX_MESSAGE_BYTES) {
			result.add(new Outgoing(merged, outgoing.receivers()));
			return;
		}
		result.add(outgoing);
		result.add(new Outgoing(capacity, outgoing.receivers()));
	}

	private CapacityCodec.Sum createSum(long nowNanos) {
		List<CapacityCodec.Entry> vms = this.reports.values()
			.stream()
			.filter((report) -> !report.underPressure() && report.freeCores() > 0)
			.sorted(Comparator.comparingDouble(VmCapacity::freeCores).reversed())
			.limit(MAX_VMS_PER_SUM)
			.map((report) -> new CapacityCodec.Entry(report.address().toString(), report.freeCores(), false,
					TimeUnit.NANOSECONDS.toMillis(nowNanos - report.measuredNanos())))
			.toList();
		CapacityCodec.Sum sum = new CapacityCodec.Sum(
				(int) this.reports.values().stream().filter(VmCapacity::underPressure).count(), vms);
		receive(this.ownAddress, sum, nowNanos);
		return sum;
	}

	/**
	 * Handles what another VM has sent.
	 * @param sender the address of that VM
	 * @param message its message
	 * @param nowNanos the current time of the monotonic clock
	 */
	public void receive(NetworkAddress sender, SharedLoads message, long nowNanos) {
		if (!this.localVms.containsKey(sender)) {
			return;
		}
		CapacityCodec.readCapacity(message).ifPresent((entry) -> receive(sender, entry, nowNanos));
		CapacityCodec.readSum(message).ifPresent((sum) -> receive(sender, sum, nowNanos));
	}

	private void receive(NetworkAddress vm, CapacityCodec.Entry entry, long nowNanos) {
		check(vm, entry, nowNanos).ifPresentOrElse((capacity) -> this.reports.put(vm, capacity),
				() -> this.reports.remove(vm));
	}

	private void receive(NetworkAddress collector, CapacityCodec.Sum sum, long nowNanos) {
		List<VmCapacity> vms = sum.vms()
			.stream()
			.limit(MAX_VMS_PER_SUM)
			.flatMap((entry) -> NetworkAddress.parse(entry.address())
				.filter((address) -> !address.equals(this.ownAddress))
				.flatMap((address) -> check(address, entry, nowNanos))
				.stream())
			.toList();
		this.sums.put(collector,
				new ReceivedSum(Math.min(sum.vmsUnderPressure(), this.localVms.size()), vms, nowNanos));
	}

	// A value out of range says nothing about the VM, so the whole report is dropped.
	private Optional<VmCapacity> check(NetworkAddress vm, CapacityCodec.Entry entry, long nowNanos) {
		Double cores = this.localVms.get(vm);
		boolean isInRange = entry.freeCores() >= 0 && cores != null && entry.freeCores() <= cores * 1.01
				&& entry.ageMillis() >= 0 && entry.ageMillis() <= TimeUnit.NANOSECONDS.toMillis(MAX_AGE_NANOS);
		if (!isInRange) {
			return Optional.empty();
		}
		long measuredNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(entry.ageMillis());
		return Optional.of(new VmCapacity(vm, cores, entry.freeCores(), entry.underPressure(), measuredNanos));
	}

	/**
	 * Returns the other VMs of this data centre that have reported free capacity.
	 * @param nowNanos the current time of the monotonic clock
	 * @return the latest report of each, none that is too old
	 */
	public List<VmCapacity> vms(long nowNanos) {
		removeOld(nowNanos);
		Map<NetworkAddress, VmCapacity> latest = new HashMap<>();
		this.sums.values()
			.stream()
			.flatMap((sum) -> sum.vms().stream())
			.filter((vm) -> nowNanos - vm.measuredNanos() <= MAX_AGE_NANOS)
			.forEach((vm) -> latest.merge(vm.address(), vm,
					(first, second) -> (second.measuredNanos() - first.measuredNanos() >= 0) ? second : first));
		return List.copyOf(latest.values());
	}

	/**
	 * Returns the number of VMs of this data centre that are under pressure, the smallest
	 * that a collector has counted.
	 * @param nowNanos the current time of the monotonic clock
	 * @return 0 if no collector has reported any
	 */
	public int vmsUnderPressure(long nowNanos) {
		removeOld(nowNanos);
		return this.sums.values().stream().mapToInt(ReceivedSum::vmsUnderPressure).min().orElse(0);
	}

	private void removeOld(long nowNanos) {
		this.reports.values().removeIf((report) -> nowNanos - report.measuredNanos() > MAX_AGE_NANOS);
		this.sums.values().removeIf((sum) -> nowNanos - sum.receivedNanos() > MAX_AGE_NANOS);
	}

	private record ReceivedSum(int vmsUnderPressure, List<VmCapacity> vms, long receivedNanos) {

	}

}
