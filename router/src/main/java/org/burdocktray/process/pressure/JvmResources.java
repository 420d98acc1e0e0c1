package org.burdocktray.process.pressure;

import java.lang.management.ManagementFactory;
import java.lang.management.MemoryPoolMXBean;
import java.lang.management.MemoryType;
import java.lang.management.MemoryUsage;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;

import com.sun.management.OperatingSystemMXBean;
import org.burdocktray.process.limits.BodyMemory;

/**
 * Reads the resources of this process from the JVM. Thread safety: that of the memory for
 * bodies.
 */
public final class JvmResources implements VmPressure.Resources {

	private final BodyMemory bodyMemory;

	private final LongSupplier sentBytes;

	private final Optional<OperatingSystemMXBean> system = Optional
		.ofNullable(ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class));

	private final List<MemoryPoolMXBean> heapPools = ManagementFactory.getMemoryPoolMXBeans()
		.stream()
		.filter((pool) -> pool.getType() == MemoryType.HEAP)
		.toList();

	public JvmResources(BodyMemory bodyMemory, LongSupplier sentBytes) {
		this.bodyMemory = bodyMemory;
		this.sentBytes = sentBytes;
	}

	@Override
	public long processorNanos() {
		return this.system.map(OperatingSystemMXBean::getProcessCpuTime).orElse(0L);
	}

	// What is garbage is no pressure, so the heap counts as it was after a collection.
	@Override
	public double memoryShare() {
		long usedBytes = 0;
		for (MemoryPoolMXBean pool : this.heapPools) {
			MemoryUsage usage = pool.getCollectionUsage();
			usedBytes += (usage != null) ? usage.getUsed() : 0;
		}
		return Math.max(usedBytes / (double) Runtime.getRuntime().maxMemory(), this.bodyMemory.usedShare());
	}

	@Override
	public long sentBytes() {
		return this.sentBytes.getAsLong();
	}

}
