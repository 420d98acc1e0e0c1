package org.burdocktray.process.bundle;

import java.util.Optional;

/**
 * Scan for the newest rolled bundle, which determines the object to read next. Versions
 * are rolled without gaps, so a VM that has one version needs a single read to find that
 * there is no newer one. The pointer is used when no version is available and to skip
 * several new versions. Thread safety: none.
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
	 * Records that a version is rolled.
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
	 * Handles the read of a rolled bundle.
	 * @param version the version that was read
	 * @param found whether it exists
	 * @return the next read, empty when the scan ends
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
		boolean needsPointer = this.newestRolledVersion == 0 || this.bundlesRead >= MAX_READS_BEFORE_POINTER;
		if (needsPointer && !this.pointerRead) {
			return new FollowerAction.ReadPointer();
		}
		return new FollowerAction.ReadRolled(this.newestRolledVersion + 1);
	}

}
