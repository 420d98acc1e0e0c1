package org.burdocktray.process.pressure;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;

import org.burdocktray.connection.peer.generated.SharedLoads;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.process.demand.DemandExchange.Outgoing;
import org.burdocktray.process.settings.GatewayOptions.PressureOptions;

/**
 * Decides which new requests this VM serves itself, hands to VMs of at least its size in
 * its data centre, or rejects. Invariants: in the normal state all requests are served
 * here; a request is rejected only while the VM is saturated and no VM has taken it; the
 * share that is handed over is bounded by the options. Thread safety: none, confined to
 * one event loop.
 */
public final class VmPressure {

	static final long SAMPLE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

	/**
	 * Requests are handed over until the scarcest resource is used to this part of its
	 * limit.
	 */
	private static final double TARGET_RATIO = 0.7;

	/**
	 * Requests are rejected until the scarcest resource is used to this part of its
	 * limit. It is above the use at which the saturated state ends, so that a VM that
	 * bears what callers offer rejects nothing.
	 */
	private static final double REJECTION_TARGET_RATIO = 0.95;

	/** Up to this use, a VM offers what it has free; below what counts as pressed. */
	private static final double OFFERED_RATIO = 0.6;

	/** Some requests always stay, by which the VM learns what it bears. */
	private static final double MAX_SHED_SHARE = 0.95;

	/** The part of the difference to the computed share that one sample closes. */
	private static final double SHARE_STEP = 0.25;

	/** Bounds how many requests are rejected or served in succession. */
	private static final double MAX_EXCESS_REQUESTS = 4;

	private static final double MIN_RATE_PER_SECOND = 0.5;

	private static final double NANOS_PER_SECOND = 1e9;

	private static final double BITS_PER_BYTE = 8;

	private static final double NANOS_PER_MILLI = 1e6;

	private final PressureOptions options;

	private final Size size;

	private final Resources resources;

	private final ResourcePressure pressure;

	private final CapacityExchange exchange;

	private final RelayChoice choice;

	private final ArrivalShares arrivals;

	private final RandomGenerator random;

	private final Listener listener;

	private long lastSampleNanos;

	private long lastProcessorNanos;

	private long lastSentBytes;

	private long delayNanosSum;

	private int delayCount;

	private double shedShare;

	/** The share of new requests that this VM cannot bear. */
	private double excessShare;

	/**
	 * The requests that this VM could not bear, less those handed over or rejected. With
	 * rejections drawn at random, queues would build up between them.
	 */
	private double excessRequests;

	/**
	 * Creates the pressure of a VM without load.
	 * @param options the limits
	 * @param size the size of this VM
	 * @param ownAddress the address at which this VM receives messages
	 * @param resources reads the use of resources
	 * @param random the source of randomness
	 * @param listener is told of changes
	 * @param nowNanos the current time of the monotonic clock
	 */
	public VmPressure(PressureOptions options, Size size, NetworkAddress ownAddress, Resources resources,
			RandomGenerator random, Listener listener, long nowNanos) {
		this.options = options;
		this.size = size;
		this.resources = resources;
		this.pressure = new ResourcePressure(options, nowNanos);
		this.exchange = new CapacityExchange(ownAddress);
		this.choice = new RelayChoice(random);
		this.arrivals = new ArrivalShares(nowNanos);
		this.random = random;
		this.listener = listener;
		this.lastSampleNanos = nowNanos;
		this.lastProcessorNanos = resources.processorNanos();
		this.lastSentBytes = resources.sentBytes();
	}

	/**
	 * Records that periodic work runs, and reads the resources if that is due.
	 * @param delayNanos how late the work is
	 * @param nowNanos the current time of the monotonic clock
	 */
	public void tick(long delayNanos, long nowNanos) {
		this.delayNanosSum += Math.max(0, delayNanos);
		this.delayCount++;
		long elapsedNanos = nowNanos - this.lastSampleNanos;
		if (elapsedNanos < SAMPLE_NANOS) {
			return;
		}
		this.arrivals.decay(nowNanos);
		PressureState before = this.pressure.state();
		boolean hasChanged = this.pressure.record(readSample(elapsedNanos), this.arrivals.handedOverShare(),
				this.arrivals.rejectedShare(), nowNanos);
		this.lastSampleNanos = nowNanos;
		updateShedShare();
		this.listener.onSample(this.pressure);
		if (hasChanged) {
			this.listener.onStateChange(before, this.pressure.state(), describe(nowNanos));
		}
	}

	private ResourceSample readSample(long elapsedNanos) {
		long processorNanos = this.resources.processorNanos();
		long sentBytes = this.resources.sentBytes();
		ResourceSample sample = new ResourceSample(this.delayNanosSum / NANOS_PER_MILLI / this.delayCount,
				(processorNanos - this.lastProcessorNanos) / (elapsedNanos * this.size.cores()),
				this.resources.memoryShare(), (sentBytes - this.lastSentBytes) * BITS_PER_BYTE * NANOS_PER_SECOND
						/ (elapsedNanos * this.size.linkBitsPerSecond()));
		this.lastProcessorNanos = processorNanos;
		this.lastSentBytes = sentBytes;
		this.delayNanosSum = 0;
		this.delayCount = 0;
		return sample;
	}

	// What is shed now tells what all requests would need. Requests that no VM has taken
	// were served here, so the share does not grow while it has no effect.
	private void updateShedShare() {
		if (this.pressure.state() == PressureState.NORMAL) {
			this.shedShare = 0;
			this.excessShare = 0;
			this.excessRequests = 0;
			return;
		}
		double servedShare = 1 - this.arrivals.handedOverShare() - this.arrivals.rejectedShare();
		this.shedShare = step(this.shedShare, this.pressure.shareBeyond(TARGET_RATIO, servedShare));
		this.excessShare = step(this.excessShare, this.pressure.shareBeyond(REJECTION_TARGET_RATIO, servedShare));
	}

	private void addExcess(double requests) {
		this.excessRequests = Math.max(-MAX_EXCESS_REQUESTS,
				Math.min(MAX_EXCESS_REQUESTS, this.excessRequests + requests));
	}

	private static double step(double share, double needed) {
		return share + SHARE_STEP * (Math.max(0, Math.min(MAX_SHED_SHARE, needed)) - share);
	}

	/**
	 * Decides on a new request of a caller.
	 * @param isUsable whether a request can be sent to a VM at present
	 * @param inFlight the requests of this VM that are in progress at a VM
	 * @param nowNanos the current time of the monotonic clock
	 * @return where it is served
	 */
	Placement place(Predicate<NetworkAddress> isUsable, ToIntFunction<NetworkAddress> inFlight, long nowNanos) {
		addExcess(this.excessShare);
		double drawn = this.random.nextDouble();
		if (drawn >= this.shedShare) {
			return here(nowNanos);
		}
		if (drawn < this.options.relayShareLimit() && this.pressure.isRelievedByRelays()) {
			Optional<NetworkAddress> vm = choose(isUsable, inFlight, nowNanos);
			if (vm.isPresent()) {
				addExcess(-1);
				this.arrivals.recordHandedOver(nowNanos);
				this.listener.onHandedOver();
				return new Placement.AtVm(vm.get());
			}
		}
		return hereOrRejected(nowNanos);
	}

	/**
	 * Decides on a request that a VM has not taken.
	 * @param declinedBy the VM
	 * @param isUsable whether a request can be sent to a VM at present
	 * @param inFlight the requests of this VM that are in progress at a VM
	 * @param mayTryAnother whether another VM may be tried
	 * @param nowNanos the current time of the monotonic clock
	 * @return where it is served
	 */
	Placement placeAgain(NetworkAddress declinedBy, Predicate<NetworkAddress> isUsable,
			ToIntFunction<NetworkAddress> inFlight, boolean mayTryAnother, long nowNanos) {
		this.listener.onDeclined();
		this.choice.recordDeclined(declinedBy, nowNanos);
		Optional<NetworkAddress> next = mayTryAnother ? choose(isUsable, inFlight, nowNanos) : Optional.empty();
		if (next.isPresent()) {
			return new Placement.AtVm(next.get());
		}
		addExcess(1);
		this.arrivals.withdrawHandedOver(nowNanos);
		return hereOrRejected(nowNanos);
	}

	private Placement hereOrRejected(long nowNanos) {
		if (this.pressure.state() == PressureState.SATURATED && this.excessRequests >= 1) {
			addExcess(-1);
			this.arrivals.recordRejected(nowNanos);
			this.listener.onRejected();
			return new Placement.Rejected();
		}
		return here(nowNanos);
	}

	private Placement here(long nowNanos) {
		this.arrivals.recordServed(nowNanos);
		return new Placement.Here();
	}

	private Optional<NetworkAddress> choose(Predicate<NetworkAddress> isUsable, ToIntFunction<NetworkAddress> inFlight,
			long nowNanos) {
		double rate = Math.max(MIN_RATE_PER_SECOND, this.arrivals.servedPerSecond());
		double coresPerRequest = Math.max(1e-4, this.size.cores() * this.pressure.level() / rate);
		RelayChoice.Need need = new RelayChoice.Need(this.size.cores(), coresPerRequest,
				Math.max(1, this.exchange.vmsUnderPressure(nowNanos)));
		return this.choice.choose(need, this.exchange.vms(nowNanos), isUsable, inFlight, nowNanos);
	}

	/**
	 * Records a request that another VM has handed to this one.
	 * @param nowNanos the current time of the monotonic clock
	 */
	public void recordFromOtherVm(long nowNanos) {
		this.arrivals.recordFromOthers(nowNanos);
	}

	/**
	 * Returns whether this VM takes requests of other VMs. VMs under pressure do not
	 * choose it while it reports pressure itself; those that are cut off may have no
	 * other.
	 * @return false while saturated
	 */
	public boolean acceptsRelays() {
		return this.pressure.state() != PressureState.SATURATED;
	}

	boolean isUnderPressure() {
		return this.pressure.state() != PressureState.NORMAL;
	}

	/**
	 * Sets the registered VMs of this data centre.
	 * @param cores their cores by their address, 0 if unknown; may include this VM
	 */
	public void setVms(Map<NetworkAddress, Double> cores) {
		this.exchange.setVms(cores);
	}

	/**
	 * Adds the free capacity to the messages about demand that are due.
	 * @param messages the messages
	 * @param nowNanos the current time of the monotonic clock
	 * @return the messages to send
	 */
	public List<Outgoing> addTo(List<Outgoing> messages, long nowNanos) {
		return messages.isEmpty() ? messages : this.exchange.addTo(messages, freeCores(), isUnderPressure(), nowNanos);
	}

	/**
	 * Handles what another VM has sent.
	 * @param sender the address of that VM
	 * @param message its message
	 * @param nowNanos the current time of the monotonic clock
	 */
	public void receive(NetworkAddress sender, SharedLoads message, long nowNanos) {
		this.exchange.receive(sender, message, nowNanos);
	}

	/**
	 * Returns the cores that the requests of this VM's own callers leave free. Requests
	 * of other VMs count as free, so that the value does not swing with them.
	 * @return 0 or more
	 */
	double freeCores() {
		double ownRatio = this.pressure.ratio() * this.arrivals.callersPart();
		return isUnderPressure() ? 0 : this.size.cores() * Math.max(0, OFFERED_RATIO - ownRatio);
	}

	private String describe(long nowNanos) {
		return String.format(Locale.ROOT, "level=%.2f resource=%s share=%.2f vmsUnderPressure=%d candidates=%d",
				this.pressure.level(), this.pressure.scarcestResource(), this.shedShare,
				this.exchange.vmsUnderPressure(nowNanos), this.exchange.vms(nowNanos).size());
	}

	/**
	 * The size of a VM. Thread safety: immutable.
	 *
	 * @param cores the processor cores that the process may use
	 * @param linkBitsPerSecond the bandwidth of its link
	 */
	public record Size(double cores, double linkBitsPerSecond) {

	}

	/**
	 * Reads the use of the resources of this VM.
	 */
	public interface Resources {

		/**
		 * Returns the processor time of this process since its start.
		 * @return the time, a constant if it is not known
		 */
		long processorNanos();

		/**
		 * Returns the used share of the memory.
		 * @return 0 to 1
		 */
		double memoryShare();

		/**
		 * Returns the bytes of bodies that this process has sent since its start.
		 * @return the number of bytes
		 */
		long sentBytes();

	}

	/**
	 * Is told of changes and decisions.
	 */
	public interface Listener {

		/**
		 * Handles a new sample of the resources.
		 * @param pressure the pressure on this VM
		 */
		void onSample(ResourcePressure pressure);

		/**
		 * Handles a change of the state.
		 * @param before the state before
		 * @param after the state now
		 * @param details the values on which the change is based, for logs
		 */
		void onStateChange(PressureState before, PressureState after, String details);

		/** Handles that a request is handed to another VM. */
		void onHandedOver();

		/** Handles that another VM has not taken a request. */
		void onDeclined();

		/** Handles that a request is rejected. */
		void onRejected();

	}

}
