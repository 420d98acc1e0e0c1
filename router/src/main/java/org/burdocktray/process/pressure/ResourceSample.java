package org.burdocktray.process.pressure;

/**
 * The use of a VM's resources since the sample before. Thread safety: immutable.
 *
 * @param eventLoopDelayMillis how late periodic work was
 * @param processorShare the used share of the VM's processor cores
 * @param memoryShare the used share of the heap or of the memory for bodies
 * @param linkShare the used share of the VM's link
 */
public record ResourceSample(double eventLoopDelayMillis, double processorShare, double memoryShare, double linkShare) {

}
