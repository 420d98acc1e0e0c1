package org.burdocktray.bench.slopes;

/**
 * What a process used during a time. Thread safety: immutable.
 *
 * @param seconds the time
 * @param processorSeconds the processor time
 * @param bytes the bytes read and written
 */
record ResourceUsage(double seconds, double processorSeconds, long bytes) {

	/**
	 * Waits and returns what a process used meanwhile.
	 * @param process the process
	 * @param millis the time to wait
	 * @return the usage
	 */
	static ResourceUsage during(MeasuredProcess process, long millis) {
		Snapshot start = takeSnapshot(process);
		ProcessFleet.pauseMillis(millis);
		return start.usageUntilNow();
	}

	/**
	 * Reads the counters of a process.
	 * @param process the process
	 * @return the counters, to be compared with later ones
	 */
	static Snapshot takeSnapshot(MeasuredProcess process) {
		return new Snapshot(process, System.nanoTime(), process.processorSeconds(), process.transferredBytes());
	}

	double coreShare() {
		return this.processorSeconds / this.seconds;
	}

	double bytesPerSecond() {
		return this.bytes / this.seconds;
	}

	/**
	 * The counters of a process at a time.
	 *
	 * @param process the process
	 * @param nanos the time
	 * @param processorSeconds the processor time so far
	 * @param bytes the bytes read and written so far
	 */
	record Snapshot(MeasuredProcess process, long nanos, double processorSeconds, long bytes) {

		ResourceUsage usageUntilNow() {
			return new ResourceUsage((System.nanoTime() - this.nanos) / 1e9,
					this.process.processorSeconds() - this.processorSeconds,
					this.process.transferredBytes() - this.bytes);
		}

	}

}
