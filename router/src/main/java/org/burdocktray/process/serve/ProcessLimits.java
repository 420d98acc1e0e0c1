package org.burdocktray.process.serve;

import java.lang.management.ManagementFactory;

import com.sun.management.UnixOperatingSystemMXBean;

/**
 * The limits that the operating system sets for this process. Thread safety: stateless.
 */
final class ProcessLimits {

	private static final long USUAL_DESCRIPTORS = 4_096;

	private ProcessLimits() {
	}

	/**
	 * Returns how many descriptors the process may have open.
	 * @return the number, a usual one where the system does not tell it
	 */
	static long maxDescriptors() {
		return (ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean system)
				? system.getMaxFileDescriptorCount() : USUAL_DESCRIPTORS;
	}

}
