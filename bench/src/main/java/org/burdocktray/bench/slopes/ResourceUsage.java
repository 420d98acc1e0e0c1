package org.burdocktray.bench.slopes;

/**
 * The resources that a process used during an interval. Thread safety: immutable.
 *
 * @param seconds the duration of the interval
 * @param processorSeconds the processor time used
 * @param bytes the bytes read and written
 */
record ResourceUsage(double seconds, double processorSeconds, long bytes) {

	/**
	 * Sleeps and returns the resources that a process used meanwhile.
	 * @param process the process
	 * @param millis the time to sleep
	 * @return the resources used
	 */
	static ResourceUsage during(MeasuredProcess process, long millis) {
		Snapshot start = takeSnapshot(process);
		ProcessFleet.sleepMillis(millis);
		return start.usageUntilNow();
	}

	/**
	 * Reads the resource counters of a process.
	 * @param process the process
	 * @return the counters, as the start of an interval
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
	 * The resource counters of a process at one time.
	 *
	 * @param process the process
	 * @param nanos the monotonic time
	 * @param processorSeconds the processor time since the start of the process
	 * @param bytes the bytes read and written since the start of the process
	 */
	record Snapshot(MeasuredProcess process, long nanos, double processorSeconds, long bytes) {

		ResourceUsage usageUntilNow() {
			return new ResourceUsage((System.nanoTime() - this.nanos) / 1e9,
					this.process.processorSeconds() - this.processorSeconds,
					this.process.transferredBytes() - this.bytes);
		}

	}

}
