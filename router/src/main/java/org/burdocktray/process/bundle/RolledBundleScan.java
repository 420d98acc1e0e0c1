package org.burdocktray.process.bundle;

import java.util.Optional;

/**
 * Which object to read next to find the newest rolled bundle. Versions are rolled without
 * gaps, so a VM that knows one needs a single read to learn that there is no newer one;
 * the pointer is used when nothing is known and to skip over several new ones. Thread
 * safety: none.
 */
final class RolledBundleScan {

	private static final int MAX_READS_BEFORE_POINTER = 2;

	private long newestRolledVersion;

	private boolean running;

	private boolean pointerRead;

	private int bundlesRead;

	boolean isRunning() {
		return this.running;
	}

	/**
	 * Notes a version that is known to be rolled.
	 * @param version the version
	 */
	void recordRolled(long version) {
		this.newestRolledVersion = Math.max(this.newestRolledVersion, version);
	}

	FollowerAction begin() {
		this.running = true;
		this.pointerRead = false;
		this.bundlesRead = 0;
		return nextRead();
	}

	FollowerAction onPointerRead(long version) {
		this.pointerRead = true;
		return new FollowerAction.ReadRolled(Math.max(version, this.newestRolledVersion + 1));
	}

	/**
	 * Continues after a rolled bundle was read.
	 * @param version the version that was read
	 * @param found whether it exists
	 * @return the next read, empty at the end
	 */
	Optional<FollowerAction> onRolledRead(long version, boolean found) {
		if (!found) {
			end();
			return Optional.empty();
		}
		recordRolled(version);
		this.bundlesRead++;
		return Optional.of(nextRead());
	}

	void end() {
		this.running = false;
	}

	private FollowerAction nextRead() {
		boolean wantsPointer = this.newestRolledVersion == 0 || this.bundlesRead >= MAX_READS_BEFORE_POINTER;
		if (wantsPointer && !this.pointerRead) {
			return new FollowerAction.ReadPointer();
		}
		return new FollowerAction.ReadRolled(this.newestRolledVersion + 1);
	}

}
