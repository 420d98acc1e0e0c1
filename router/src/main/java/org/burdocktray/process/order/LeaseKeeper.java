package org.burdocktray.process.order;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.burdocktray.connection.platform.StoreError;
import org.burdocktray.connection.platform.StoredObject;

/**
 * Takes and renews the lease of one group. Invariants: a holder relies on a write for its
 * time to live from before the write was sent; another VM takes over only when it has
 * seen one version of the lease for that time and the order timeout by its own monotonic
 * clock, so the clocks of two VMs are never compared; a write whose answer is lost is
 * read back, and counts from when the first unresolved write was sent. Thread safety:
 * confined to one thread at a time.
 */
final class LeaseKeeper {

	private final String holder;

	private final OrderSettings settings;

	private Optional<OrderLease> observed = Optional.empty();

	private long observedSinceNanos;

	private boolean callInFlight;

	private boolean mustRead = true;

	private long nextCallNanos;

	private long writeSentNanos;

	private OptionalLong unresolvedSinceNanos = OptionalLong.empty();

	private OptionalLong heldFencingNumber = OptionalLong.empty();

	private long heldUntilNanos;

	private long tenure;

	private long writeCount;

	LeaseKeeper(String holder, OrderSettings settings, long nowNanos) {
		this.holder = holder;
		this.settings = settings;
		this.nextCallNanos = nowNanos;
	}

	/**
	 * Returns the next call to the store if one is due.
	 * @param nowNanos the time
	 * @return the call
	 */
	Optional<OrderAction> nextCall(long nowNanos) {
		if (this.callInFlight || nowNanos < this.nextCallNanos) {
			return Optional.empty();
		}
		this.callInFlight = true;
		if (this.mustRead) {
			return Optional.of(new OrderAction.ReadLease());
		}
		this.writeSentNanos = nowNanos;
		OptionalLong expected = this.observed.map((lease) -> OptionalLong.of(lease.fencingNumber()))
			.orElse(OptionalLong.empty());
		return Optional.of(new OrderAction.WriteLease(expected,
				OrderLease.toStoredValue(this.holder, this.settings.ttlMillis(), ++this.writeCount)));
	}

	void onRead(Optional<StoredObject> object, long nowNanos) {
		this.callInFlight = false;
		this.mustRead = false;
		this.nextCallNanos = nowNanos;
		Optional<OrderLease> read = object.map((stored) -> OrderLease.of(stored, this.settings.ttlMillis()));
		if (!read.equals(this.observed)) {
			this.observed = read;
			this.observedSinceNanos = nowNanos;
		}
		if (read.isEmpty()) {
			return;
		}
		if (isOwn(read.get())) {
			onOwnLeaseRead(read.get());
			return;
		}
		this.heldFencingNumber = OptionalLong.empty();
		if (nowNanos - this.observedSinceNanos < takeoverDelayNanos(read.get())) {
			scheduleRead(this.settings.leasePollMillis(), nowNanos);
		}
	}

	void onReadFailed(long nowNanos) {
		this.callInFlight = false;
		scheduleRead(this.settings.leasePollMillis(), nowNanos);
	}

	void onWritten(StoredObject object, long nowNanos) {
		this.callInFlight = false;
		this.observed = Optional.of(OrderLease.of(object, this.settings.ttlMillis()));
		this.observedSinceNanos = nowNanos;
		// An unresolved write expected an older version and can't be applied any more.
		this.unresolvedSinceNanos = OptionalLong.empty();
		markHeld(object.version(), this.writeSentNanos);
		this.nextCallNanos = this.writeSentNanos + nanos(this.settings.renewMillis());
	}

	void onWriteFailed(StoreError error, long nowNanos) {
		this.callInFlight = false;
		if (error == StoreError.UNRESOLVED && this.unresolvedSinceNanos.isEmpty()) {
			this.unresolvedSinceNanos = OptionalLong.of(this.writeSentNanos);
		}
		boolean retriesAtOnce = error == StoreError.UNRESOLVED || error == StoreError.CONFLICT;
		scheduleRead((retriesAtOnce) ? 0 : this.settings.leasePollMillis(), nowNanos);
	}

	/**
	 * Reads the lease at the next step, since an engine knows a higher number.
	 * @param nowNanos the time
	 */
	void requestRead(long nowNanos) {
		scheduleRead(0, nowNanos);
	}

	/**
	 * Returns the fencing number when an order sent now would be in time.
	 * @param nowNanos the time
	 * @return the number; empty when this VM must not order
	 */
	OptionalLong fencingNumber(long nowNanos) {
		return (nowNanos <= orderDeadlineNanos()) ? this.heldFencingNumber : OptionalLong.empty();
	}

	long orderDeadlineNanos() {
		return this.heldUntilNanos - nanos(this.settings.orderTimeoutMillis());
	}

	/**
	 * Counts how often the lease was taken over by this VM.
	 * @return the count
	 */
	long tenure() {
		return this.tenure;
	}

	OptionalLong nextDueNanos() {
		return (this.callInFlight) ? OptionalLong.empty() : OptionalLong.of(this.nextCallNanos);
	}

	private void onOwnLeaseRead(OrderLease lease) {
		boolean known = this.heldFencingNumber.isPresent()
				&& this.heldFencingNumber.getAsLong() == lease.fencingNumber();
		if (!known && this.unresolvedSinceNanos.isPresent()) {
			markHeld(lease.fencingNumber(), this.unresolvedSinceNanos.getAsLong());
			this.unresolvedSinceNanos = OptionalLong.empty();
		}
	}

	private void markHeld(long number, long sentNanos) {
		if (this.heldFencingNumber.isEmpty()) {
			this.tenure++;
		}
		this.heldFencingNumber = OptionalLong.of(number);
		this.heldUntilNanos = sentNanos + nanos(this.settings.ttlMillis());
	}

	private void scheduleRead(long millis, long nowNanos) {
		this.mustRead = true;
		this.nextCallNanos = nowNanos + nanos(millis);
	}

	private boolean isOwn(OrderLease lease) {
		return lease.holder().equals(this.holder);
	}

	// The holder's own time to live counts, not that of this VM.
	private long takeoverDelayNanos(OrderLease lease) {
		return nanos(lease.ttlMillis() + this.settings.orderTimeoutMillis());
	}

	private static long nanos(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

}
