package org.burdocktray.process.relay;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.burdocktray.model.NetworkAddress;

/**
 * Decides how long requests of a VM that is cut off wait for VMs that offer to relay
 * them. The list of VMs may be older than some VMs, so it is read again at a cut, and the
 * VMs that it adds are asked as well. Invariants: each wait is bounded; the list is read
 * at most once in {@link #LISTING_INTERVAL_NANOS}. Thread safety: none, confined to one
 * event loop.
 */
public final class OfferWait {

	/** How long the replies of VMs that have just been asked take at most. */
	public static final long REPLY_MILLIS = 150;

	/** How long requests wait for the list at most; the store may be out of reach. */
	static final long LISTING_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	/** Bounds the calls to the store of a VM whose links fail again and again. */
	static final long LISTING_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

	private final Set<NetworkAddress> known = new HashSet<>();

	private boolean asking;

	private boolean hasListed;

	private boolean awaitsList;

	private long askedNanos;

	private long lastListingNanos;

	/**
	 * Begins to wait: the known VMs are being asked.
	 * @param nowNanos the monotonic time
	 * @return whether the list of VMs must be read again
	 */
	public boolean begin(long nowNanos) {
		this.asking = true;
		this.askedNanos = nowNanos;
		if (this.hasListed && nowNanos - this.lastListingNanos < LISTING_INTERVAL_NANOS) {
			return false;
		}
		this.hasListed = true;
		this.awaitsList = true;
		this.lastListingNanos = nowNanos;
		return true;
	}

	/** Ends the wait: this VM reaches replicas again. */
	public void end() {
		this.asking = false;
		this.awaitsList = false;
	}

	/**
	 * Records the list of VMs.
	 * @param vms the addresses of all VMs
	 * @param nowNanos the monotonic time
	 * @return whether VMs must be asked now, since some have not been known until now
	 */
	public boolean recordVms(Collection<NetworkAddress> vms, long nowNanos) {
		boolean hasNew = !this.known.containsAll(vms);
		this.known.clear();
		this.known.addAll(vms);
		this.awaitsList = false;
		if (!this.asking || !hasNew) {
			return false;
		}
		this.askedNanos = nowNanos;
		return true;
	}

	/**
	 * Returns whether another VM may still offer to relay. Offers that have come already
	 * do not end the wait: the VMs that sent them may decline.
	 * @param nowNanos the monotonic time
	 * @return true for a moment after VMs were asked, and while the list is being read
	 */
	public boolean isOngoing(long nowNanos) {
		if (!this.asking) {
			return false;
		}
		return nowNanos - this.askedNanos < TimeUnit.MILLISECONDS.toNanos(REPLY_MILLIS)
				|| (this.awaitsList && nowNanos - this.lastListingNanos < LISTING_NANOS);
	}

}
