package org.burdocktray.process.order;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.burdocktray.connection.platform.StoreError;
import org.burdocktray.connection.platform.StoreRevision;
import org.burdocktray.connection.platform.StoredObject;

/**
 * Acquires and renews the lease of one group. Invariants: a write is valid for the time
 * to live of the lease, counted from before the write was sent. Another VM takes over
 * only after it has observed the same version of the lease for the time to live plus the
 * order timeout, measured by its own monotonic clock, so the clocks of two VMs are never
 * compared. A write whose response is lost is read back; if it was applied, the lease is
 * valid from when the first unresolved write was sent. A store that returns from a copy
 * may have lost the write of another holder; so after that only the VM that holds the
 * lease renews it without waiting for this time, and a write whose condition was read
 * before the return gives no lease. Thread safety: confined to one thread at a time.
 */
final class LeaseKeeper {

	private final String holder;

	private final OrderSettings settings;

	private LeasePolling.Schedule polling;

	private Optional<OrderLease> observed = Optional.empty();

	private long observedSinceNanos;

	/**
	 * Whether the store has returned from a copy and any VM may hold the lease, whatever
	 * the store says.
	 */
	private boolean holderUnknown;

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
		this.polling = new LeasePolling.Schedule(settings.leasePollMillis(), OptionalLong.empty());
		this.nextCallNanos = nowNanos;
	}

	/**
	 * Sets when the lease of another holder is read, from the next read on.
	 * @param schedule replaces the interval of the settings
	 */
	void setPolling(LeasePolling.Schedule schedule) {
		this.polling = schedule;
	}

	/**
	 * Returns the next call to the store if one is due.
	 * @param nowNanos the time
	 * @return the call, empty when none is due or one is in flight
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
		Optional<StoreRevision> expected = this.observed.map(OrderLease::version);
		return Optional.of(new OrderAction.WriteLease(expected,
				OrderLease.toStoredValue(this.holder, this.settings.ttlMillis(), ++this.writeCount)));
	}

	void onRead(Optional<StoredObject> object, long nowNanos) {
		this.callInFlight = false;
		this.mustRead = false;
		this.nextCallNanos = nowNanos;
		Optional<OrderLease> current = object.map((stored) -> OrderLease.of(stored, this.settings.ttlMillis()));
		if (!current.equals(this.observed)) {
			this.observed = current;
			this.observedSinceNanos = nowNanos;
		}
		boolean mayBelongToAnother = this.holderUnknown && !isHeld(nowNanos);
		if (current.isEmpty() || isOwn(current.get())) {
			current.ifPresent(this::onOwnLeaseRead);
			if (mayBelongToAnother) {
				awaitExpiry(this.settings.ttlMillis(), nowNanos);
			}
			return;
		}
		this.heldFencingNumber = OptionalLong.empty();
		awaitExpiry(current.get().ttlMillis(), nowNanos);
	}

	private void awaitExpiry(long ttlMillis, long nowNanos) {
		if (nowNanos - this.observedSinceNanos < takeoverDelayNanos(ttlMillis)) {
			scheduleRead(this.polling.nextNanos(nowNanos));
		}
	}

	/**
	 * Handles that the store has returned from a copy.
	 * @param nowNanos the time
	 */
	void onNewEra(long nowNanos) {
		this.holderUnknown = true;
		this.observed = Optional.empty();
		this.observedSinceNanos = nowNanos;
		// What a write of an earlier era has done is gone, or it was another VM's turn
		// since.
		this.unresolvedSinceNanos = OptionalLong.empty();
		scheduleRead(nowNanos);
	}

	void onReadFailed(long nowNanos) {
		this.callInFlight = false;
		scheduleRead(this.polling.nextNanos(nowNanos));
	}

	void onWritten(StoredObject object, long nowNanos) {
		this.callInFlight = false;
		this.observed = Optional.of(OrderLease.of(object, this.settings.ttlMillis()));
		this.observedSinceNanos = nowNanos;
		this.holderUnknown = false;
		// An earlier unresolved write expected an older version and can no longer be
		// applied.
		this.unresolvedSinceNanos = OptionalLong.empty();
		markHeld(this.observed.get(), this.writeSentNanos);
		this.nextCallNanos = this.writeSentNanos + nanos(this.settings.renewMillis());
	}

	void onWriteFailed(StoreError error, long nowNanos) {
		this.callInFlight = false;
		boolean mayBeApplied = error == StoreError.UNRESOLVED && !this.holderUnknown;
		if (mayBeApplied && this.unresolvedSinceNanos.isEmpty()) {
			this.unresolvedSinceNanos = OptionalLong.of(this.writeSentNanos);
		}
		boolean retryImmediately = error == StoreError.UNRESOLVED || error == StoreError.CONFLICT
				|| error == StoreError.ERA_CHANGED;
		scheduleRead(retryImmediately ? nowNanos : this.polling.nextNanos(nowNanos));
	}

	/**
	 * Schedules an immediate read of the lease, because an engine has received a higher
	 * fencing number.
	 * @param nowNanos the time
	 */
	void requestRead(long nowNanos) {
		scheduleRead(nowNanos);
	}

	/**
	 * Returns the fencing number if an order sent now would reach its timeout before the
	 * lease expires.
	 * @param nowNanos the time
	 * @return the number, empty when this VM must not send orders
	 */
	OptionalLong fencingNumber(long nowNanos) {
		return (nowNanos <= orderDeadlineNanos()) ? this.heldFencingNumber : OptionalLong.empty();
	}

	long orderDeadlineNanos() {
		return this.heldUntilNanos - nanos(this.settings.orderTimeoutMillis());
	}

	/**
	 * Returns how often this VM has taken over the lease.
	 * @return the count
	 */
	long tenure() {
		return this.tenure;
	}

	OptionalLong nextDueNanos() {
		return (this.callInFlight) ? OptionalLong.empty() : OptionalLong.of(this.nextCallNanos);
	}

	private void onOwnLeaseRead(OrderLease lease) {
		boolean alreadyHeld = this.heldFencingNumber.isPresent()
				&& this.heldFencingNumber.getAsLong() == lease.fencingNumber();
		if (!alreadyHeld && this.unresolvedSinceNanos.isPresent()) {
			markHeld(lease, this.unresolvedSinceNanos.getAsLong());
			this.unresolvedSinceNanos = OptionalLong.empty();
		}
	}

	private boolean isHeld(long nowNanos) {
		return this.heldFencingNumber.isPresent() && nowNanos <= this.heldUntilNanos;
	}

	private void markHeld(OrderLease lease, long sentNanos) {
		if (this.heldFencingNumber.isEmpty()) {
			this.tenure++;
		}
		this.heldFencingNumber = OptionalLong.of(lease.fencingNumber());
		this.heldUntilNanos = sentNanos + nanos(this.settings.ttlMillis());
	}

	private void scheduleRead(long dueNanos) {
		this.mustRead = true;
		this.nextCallNanos = dueNanos;
	}

	private boolean isOwn(OrderLease lease) {
		return lease.holder().equals(this.holder);
	}

	// Uses the time to live stored by the holder, not the one configured on this VM.
	private long takeoverDelayNanos(long ttlMillis) {
		return nanos(ttlMillis + this.settings.orderTimeoutMillis());
	}

	private static long nanos(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

}
