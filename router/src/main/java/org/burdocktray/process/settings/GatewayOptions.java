package org.burdocktray.process.settings;

import java.util.Optional;

/**
 * The optional features of one gateway process, as its operators configure them. A
 * feature that is not configured is off. All gateways of a fleet should have the same
 * options; those that differ still understand each other. Thread safety: immutable.
 *
 * @param watch lets few VMs watch the platform's store for all others
 * @param overload sheds load by priority while the demand exceeds the capacity
 * @param balancing lets routes and layers follow uneven demand
 * @param hedging sends a second run of repeatable requests that respond late
 * @param pressure hands new requests of a VM under pressure to VMs of at least its size
 * @param clients bounds what clients take together; always on
 */
public record GatewayOptions(Optional<WatchOptions> watch, Optional<OverloadOptions> overload,
		Optional<BalancingOptions> balancing, Optional<HedgingOptions> hedging, Optional<PressureOptions> pressure,
		ClientOptions clients) {

	/** All features are off. */
	public static final GatewayOptions NONE = new GatewayOptions(Optional.empty(), Optional.empty(), Optional.empty(),
			Optional.empty());

	/**
	 * Creates options with the defaults of {@link #clients}.
	 * @param watch lets few VMs watch the platform's store for all others
	 * @param overload sheds load by priority while the demand exceeds the capacity
	 * @param balancing lets routes and layers follow uneven demand
	 * @param hedging sends a second run of repeatable requests that respond late
	 * @param pressure hands new requests of a VM under pressure to VMs of at least its
	 * size
	 */
	public GatewayOptions(Optional<WatchOptions> watch, Optional<OverloadOptions> overload,
			Optional<BalancingOptions> balancing, Optional<HedgingOptions> hedging,
			Optional<PressureOptions> pressure) {
		this(watch, overload, balancing, hedging, pressure, ClientOptions.DEFAULT);
	}

	/**
	 * Creates options without {@link #pressure}.
	 * @param watch lets few VMs watch the platform's store for all others
	 * @param overload sheds load by priority while the demand exceeds the capacity
	 * @param balancing lets routes and layers follow uneven demand
	 * @param hedging sends a second run of repeatable requests that respond late
	 */
	public GatewayOptions(Optional<WatchOptions> watch, Optional<OverloadOptions> overload,
			Optional<BalancingOptions> balancing, Optional<HedgingOptions> hedging) {
		this(watch, overload, balancing, hedging, Optional.empty());
	}

	/**
	 * When a configured feature takes effect.
	 */
	public enum Activation {

		/** The feature takes effect under the conditions that its options name. */
		AUTO,

		/** The feature takes effect for all services. */
		ALWAYS

	}

	/**
	 * Which VMs watch the platform's store. Thread safety: immutable.
	 *
	 * @param minVmCount the number of VMs from which on few of them watch the store
	 * @param vmsPerWatcher the number of VMs of a data centre that hear of changes from
	 * one watcher
	 * @param minWatchers the minimum number of watchers in a data centre
	 */
	public record WatchOptions(int minVmCount, int vmsPerWatcher, int minWatchers) {

	}

	/**
	 * How load is shed. Thread safety: immutable.
	 *
	 * @param activation {@link Activation#AUTO} for the services whose routes or
	 * organisations have more than one priority
	 * @param minAdmittedShare the share of the requests of each priority that is admitted
	 * also under overload, so that no priority is starved
	 */
	public record OverloadOptions(Activation activation, double minAdmittedShare) {

	}

	/**
	 * How routes and layers follow demand. Thread safety: immutable.
	 *
	 * @param activation {@link Activation#AUTO} for services whose accelerator kinds
	 * differ by more than the ratio, and for a while after data centres were utilised
	 * unevenly or engines were lost in a group
	 * @param imbalanceRatio the ratio of step factors, or of utilisations of data
	 * centres, that counts as uneven
	 * @param paybackMillis the time within which the move of an engine to other layers
	 * must gain more tokens than it costs; not used yet
	 */
	public record BalancingOptions(Activation activation, double imbalanceRatio, long paybackMillis) {

	}

	/**
	 * How much extra work hedged requests may cause. Thread safety: immutable.
	 *
	 * @param maxRequestShare the number of hedged runs per request
	 * @param extraRuns the hedged runs that the fleet may start per window of the retry
	 * budget in addition to the share
	 * @param delayQuantile the quantile of the response times of earlier requests after
	 * which a second run starts
	 * @param minDelayMillis the minimum delay of the second run
	 */
	public record HedgingOptions(double maxRequestShare, int extraRuns, double delayQuantile, long minDelayMillis) {

	}

	/**
	 * When a VM is under pressure, and what it hands over then. A limit is the value at
	 * which the resource counts as used up. Thread safety: immutable.
	 *
	 * @param maxEventLoopDelayMillis the limit of the mean delay of periodic work
	 * @param maxProcessorShare the limit of the use of the VM's processor cores
	 * @param maxMemoryShare the limit of the use of the heap and of the memory for bodies
	 * @param maxLinkShare the limit of the use of the VM's link by what it sends
	 * @param relayShareLimit the share of new requests that is handed to other VMs at
	 * most
	 */
	public record PressureOptions(long maxEventLoopDelayMillis, double maxProcessorShare, double maxMemoryShare,
			double maxLinkShare, double relayShareLimit) {

	}

}
