package org.burdocktray.process.settings;

import org.burdocktray.connection.caller.ClientMemory;

/**
 * What clients may take of a process together. Thread safety: immutable.
 *
 * @param maxConnectionShare the share of the descriptors for connections of callers
 * @param maxVmConnectionShare the share of the descriptors for connections of other VMs
 * @param memory the shares of the heap
 * @param writeTimeoutMillis the time after which a connection is closed whose client
 * reads nothing of its answer
 */
public record ClientOptions(double maxConnectionShare, double maxVmConnectionShare, ClientMemory.Shares memory,
		long writeTimeoutMillis) {

	/** What holds if the section is absent. */
	public static final ClientOptions DEFAULT = new ClientOptions(0.45, 0.1,
			new ClientMemory.Shares(0.1, 0.05, 0.15, 0.15), 60_000);

	/** Descriptors that are kept for files. */
	private static final int FILE_DESCRIPTORS = 200;

	/**
	 * Returns how many connections of callers may be open.
	 * @param maxDescriptors the descriptors that the process may have open
	 * @return at least one
	 */
	public int maxConnections(long maxDescriptors) {
		return socketShare(this.maxConnectionShare, maxDescriptors);
	}

	/**
	 * Returns how many connections of other VMs may be open.
	 * @param maxDescriptors the descriptors that the process may have open
	 * @return at least one
	 */
	public int maxVmConnections(long maxDescriptors) {
		return socketShare(this.maxVmConnectionShare, maxDescriptors);
	}

	private static int socketShare(double share, long maxDescriptors) {
		return (int) Math.max(1, Math.min(Integer.MAX_VALUE, share * (maxDescriptors - FILE_DESCRIPTORS)));
	}

}
