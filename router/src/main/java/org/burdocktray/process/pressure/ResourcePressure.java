package org.burdocktray.process.pressure;

import java.util.Collections;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.burdocktray.process.settings.GatewayOptions.PressureOptions;

/**
 * The pressure on this VM: the use of its scarcest resource, relative to the limit of
 * that resource. The state follows the load that callers offer, so that requests which
 * are handed over or rejected do not end the state that caused this. Invariants: a state
 * holds for its minimum time; thresholds to enter and to leave a state differ. Thread
 * safety: none, confined to one event loop.
 */
public final class ResourcePressure {

	private static final double PRESSED_ENTRY = 0.8;

	private static final double PRESSED_EXIT = 0.65;

	private static final double SATURATED_ENTRY = 1;

	private static final double SATURATED_EXIT = 0.9;

	private static final long MIN_NANOS_BEFORE_RISE = TimeUnit.SECONDS.toNanos(1);

	private static final long MIN_NANOS_BEFORE_FALL = TimeUnit.SECONDS.toNanos(3);

	/** A single pause or burst of bytes is no pressure. */
	private static final double SMOOTHING_NANOS = TimeUnit.SECONDS.toNanos(1);

	/**
	 * Bounds what one sample adds to the mean: 0.55 at most, less than
	 * {@link #PRESSED_ENTRY}.
	 */
	private static final double MAX_RATIO = 2.5;

	/** The time of a sample that comes late weighs no more than that of others. */
	private static final long MAX_WEIGHT_NANOS = VmPressure.SAMPLE_NANOS;

	private static final double MIN_RATIO = 1e-3;

	/** The share of requests that the state counts as served here at least. */
	private static final double MIN_SERVED_SHARE = 0.05;

	private final PressureOptions options;

	private double delayRatio;

	private double processorRatio;

	private double memoryRatio;

	private double linkRatio;

	private PressureState state = PressureState.NORMAL;

	private long stateSinceNanos;

	private long lastSampleNanos;

	/**
	 * Creates the pressure of a VM without load.
	 * @param options the limits of the resources
	 * @param nowNanos the current time of the monotonic clock
	 */
	public ResourcePressure(PressureOptions options, long nowNanos) {
		this.options = options;
		this.stateSinceNanos = nowNanos;
		this.lastSampleNanos = nowNanos;
	}

	/**
	 * Records the use of the resources.
	 * @param sample the use since the last sample
	 * @param relayedShare the share of new requests that is handed over at present
	 * @param rejectedShare the share of new requests that is rejected at present
	 * @param nowNanos the current time of the monotonic clock
	 * @return whether the state has changed
	 */
	public boolean record(ResourceSample sample, double relayedShare, double rejectedShare, long nowNanos) {
		long weightNanos = Math.max(0, Math.min(MAX_WEIGHT_NANOS, nowNanos - this.lastSampleNanos));
		double weight = 1 - Math.exp(-weightNanos / SMOOTHING_NANOS);
		this.lastSampleNanos = nowNanos;
		this.delayRatio = smooth(this.delayRatio,
				sample.eventLoopDelayMillis() / this.options.maxEventLoopDelayMillis(), weight);
		this.processorRatio = smooth(this.processorRatio, sample.processorShare() / this.options.maxProcessorShare(),
				weight);
		this.memoryRatio = smooth(this.memoryRatio, sample.memoryShare() / this.options.maxMemoryShare(), weight);
		this.linkRatio = smooth(this.linkRatio, sample.linkShare() / this.options.maxLinkShare(), weight);
		PressureState next = nextState(relayedShare, rejectedShare);
		long minNanos = (next.compareTo(this.state) > 0) ? MIN_NANOS_BEFORE_RISE : MIN_NANOS_BEFORE_FALL;
		if (next == this.state || nowNanos - this.stateSinceNanos < minNanos) {
			return false;
		}
		this.state = next;
		this.stateSinceNanos = nowNanos;
		return true;
	}

	private static double smooth(double mean, double ratio, double weight) {
		double limited = Double.isFinite(ratio) ? Math.max(0, Math.min(MAX_RATIO, ratio)) : 0;
		return mean + weight * (limited - mean);
	}

	private PressureState nextState(double relayedShare, double rejectedShare) {
		double ratio = ratio();
		// The use if nothing were handed over or rejected. Memory does not follow new
		// requests.
		double offeredRate = rateRatio() / Math.max(MIN_SERVED_SHARE, 1 - relayedShare - rejectedShare);
		double offered = Math.max(offeredRate, this.memoryRatio);
		// A VM stays saturated while it could not bear what other VMs leave it.
		double withoutRejections = Math.max(offeredRate * (1 - relayedShare), this.memoryRatio);
		boolean wasSaturated = this.state == PressureState.SATURATED;
		if (wasSaturated ? withoutRejections >= SATURATED_EXIT : ratio >= SATURATED_ENTRY) {
			return PressureState.SATURATED;
		}
		boolean wasPressed = this.state != PressureState.NORMAL;
		return (offered >= (wasPressed ? PRESSED_EXIT : PRESSED_ENTRY)) ? PressureState.PRESSED : PressureState.NORMAL;
	}

	/**
	 * Returns the use of the scarcest resource relative to its limit.
	 * @return 0 or more, above 1 beyond the limit
	 */
	double ratio() {
		return Math.max(Math.max(this.delayRatio, this.processorRatio), Math.max(this.memoryRatio, this.linkRatio));
	}

	// The use that follows the rate of new requests.
	private double rateRatio() {
		return Math.max(Math.max(this.delayRatio, this.processorRatio), this.linkRatio);
	}

	/**
	 * Returns the share of new requests without which the use is at a target. Memory does
	 * not follow new requests, so the share for it does not build on what is shed at
	 * present: it would grow for as long as the memory stays in use.
	 * @param targetRatio the target relative to the limits
	 * @param servedShare the share of new requests that is served here at present
	 * @return below 1, 0 or less if nothing needs to be shed
	 */
	double shareBeyond(double targetRatio, double servedShare) {
		double ofRate = 1 - targetRatio * servedShare / Math.max(MIN_RATIO, rateRatio());
		double ofMemory = 1 - targetRatio / Math.max(MIN_RATIO, this.memoryRatio);
		return Math.max(ofRate, ofMemory);
	}

	/**
	 * Returns the pressure level.
	 * @return 0 without load to 1 at the limit of a resource
	 */
	public double level() {
		return Math.min(1, ratio());
	}

	public PressureState state() {
		return this.state;
	}

	/**
	 * Returns whether another VM can relieve this one. A relayed request still passes
	 * through the memory and the link of this VM.
	 * @return false if memory or the link is the scarcest resource or used up
	 */
	boolean isRelievedByRelays() {
		double passedThrough = Math.max(this.memoryRatio, this.linkRatio);
		return passedThrough < 1 && Math.max(this.delayRatio, this.processorRatio) >= passedThrough;
	}

	/**
	 * Returns the level of each resource, for metrics and logs.
	 * @return the use relative to the limit by the name of the resource
	 */
	public Map<String, Double> levels() {
		return Map.of("event_loop", this.delayRatio, "processor", this.processorRatio, "memory", this.memoryRatio,
				"link", this.linkRatio);
	}

	/**
	 * Returns the scarcest resource, for logs.
	 * @return its name
	 */
	String scarcestResource() {
		return Collections.max(levels().entrySet(), Map.Entry.comparingByValue()).getKey();
	}

}
