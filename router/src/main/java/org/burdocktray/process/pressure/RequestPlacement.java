package org.burdocktray.process.pressure;

import java.util.function.Predicate;
import java.util.function.ToIntFunction;

import org.burdocktray.model.NetworkAddress;

/**
 * Where one request of a caller is served. It is decided once, and again only when the VM
 * to which it was handed has not taken it: a request that waits is not drawn again.
 * Invariants: a request is sent to at most two other VMs; one that may have run anywhere
 * is neither handed over nor rejected. Thread safety: none, confined to one event loop.
 */
public final class RequestPlacement {

	/** To how many other VMs a request is sent at most. */
	public static final int MAX_VMS = 2;

	private final VmPressure pressure;

	private final Predicate<NetworkAddress> isUsable;

	private final ToIntFunction<NetworkAddress> inFlight;

	private Placement placement;

	private int tried;

	/**
	 * Creates the placement of a request that has not been placed yet.
	 * @param pressure the pressure on this VM
	 * @param isUsable whether the request can be sent to a VM at present
	 * @param inFlight the requests of this VM that are in progress at a VM
	 */
	public RequestPlacement(VmPressure pressure, Predicate<NetworkAddress> isUsable,
			ToIntFunction<NetworkAddress> inFlight) {
		this.pressure = pressure;
		this.isUsable = isUsable;
		this.inFlight = inFlight;
	}

	/**
	 * Returns where the request is served.
	 * @param nowNanos the current time of the monotonic clock
	 * @return the place
	 */
	public Placement get(long nowNanos) {
		if (this.placement == null) {
			this.placement = this.pressure.place(this.isUsable, this.inFlight, nowNanos);
		}
		return this.placement;
	}

	/**
	 * Records that the request may have run anywhere. From then on it is served here.
	 */
	public void keepHere() {
		this.placement = new Placement.Here();
	}

	/**
	 * Records that a VM has not taken the request, which has not run there.
	 * @param vm the address of the VM
	 * @param nowNanos the current time of the monotonic clock
	 */
	public void recordNotTaken(NetworkAddress vm, long nowNanos) {
		if (!(this.placement instanceof Placement.AtVm at) || !at.vm().equals(vm)) {
			return;
		}
		this.tried++;
		this.placement = this.pressure.placeAgain(vm, this.isUsable, this.inFlight, this.tried < MAX_VMS, nowNanos);
	}

}
