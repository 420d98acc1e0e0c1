package org.burdocktray.bench.slopes;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * Measures processor time and retained heap of calls in this process. The last result
 * stays reachable so that the JIT compiler cannot eliminate the calls. Thread safety:
 * none.
 */
final class Timing {

	private static final int GC_ROUNDS = 3;

	private Object lastResult;

	/**
	 * Measures the processor time per call.
	 * @param warmUps the number of calls before the measurement
	 * @param batches the number of measured batches
	 * @param batchSize the number of calls per batch
	 * @param call the call to measure
	 * @return the median over the batches, in microseconds per call
	 */
	double medianMicros(int warmUps, int batches, int batchSize, Supplier<?> call) {
		repeat(warmUps, call);
		List<Double> micros = new ArrayList<>();
		for (int batch = 0; batch < batches; batch++) {
			long startNanos = threadProcessorNanos();
			repeat(batchSize, call);
			micros.add((threadProcessorNanos() - startNanos) / 1e3 / batchSize);
		}
		return Series.median(micros);
	}

	/**
	 * Measures the heap that a result retains after full garbage collections.
	 * @param call creates the result
	 * @return the bytes
	 */
	long retainedBytes(Supplier<?> call) {
		this.lastResult = null;
		long before = usedHeapBytes();
		this.lastResult = call.get();
		return usedHeapBytes() - before;
	}

	private void repeat(int count, Supplier<?> call) {
		for (int index = 0; index < count; index++) {
			this.lastResult = call.get();
		}
	}

	private static long threadProcessorNanos() {
		return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
	}

	private static long usedHeapBytes() {
		for (int round = 0; round < GC_ROUNDS; round++) {
			System.gc();
		}
		return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
	}

}
