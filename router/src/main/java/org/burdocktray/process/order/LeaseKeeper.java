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

	private Optional<OrderLease> seen = Optional.empty();

	private long seenSinceNanos;

	private boolean callInFlight;

	private boolean mustRead = true;

	private long nextStepNanos;

	private long writeSentNanos;

	private OptionalLong unresolvedSinceNanos = OptionalLong.empty();

	private OptionalLong heldNumber = OptionalLong.empty();

	private long heldUntilNanos;

	private long tenure;

	private long writes;

	LeaseKeeper(String holder, OrderSettings settings, long nowNanos) {
		this.holder = holder;
		this.settings = settings;
		this.nextStepNanos = nowNanos;
	}

	/**
	 * Returns the next call to the store if one is due.
	 * @param nowNanos the time
	 * @return the call
	 */
	Optional<OrderAction> next(long nowNanos) {
		if (this.callInFlight || nowNanos < this.nextStepNanos) {
			return Optional.empty();
		}
		this.callInFlight = true;
		if (this.mustRead) {
			return Optional.of(new OrderAction.ReadLease());
		}
		this.writeSentNanos = nowNanos;
		OptionalLong expected = this.seen.map((lease) -> OptionalLong.of(lease.fencingNumber()))
			.orElse(OptionalLong.empty());
		return Optional.of(new OrderAction.WriteLease(expected,
				OrderLease.value(this.holder, this.settings.ttlMillis(), ++this.writes)));
	}

	void read(Optional<StoredObject> object, long nowNanos) {
		this.callInFlight = false;
		this.mustRead = false;
		this.nextStepNanos = nowNanos;
		Optional<OrderLease> read = object.map((stored) -> OrderLease.of(stored, this.settings.ttlMillis()));
		if (!read.equals(this.seen)) {
			this.seen = read;
			this.seenSinceNanos = nowNanos;
		}
		if (read.isEmpty()) {
			return;
		}
		if (isMine(read.get())) {
			readMine(read.get());
			return;
		}
		this.heldNumber = OptionalLong.empty();
		if (nowNanos - this.seenSinceNanos < waitOutNanos(read.get())) {
			readAfter(this.settings.leasePollMillis(), nowNanos);
		}
	}

	void readFailed(long nowNanos) {
		this.callInFlight = false;
		readAfter(this.settings.leasePollMillis(), nowNanos);
	}

	void written(StoredObject object, long nowNanos) {
		this.callInFlight = false;
		this.seen = Optional.of(OrderLease.of(object, this.settings.ttlMillis()));
		this.seenSinceNanos = nowNanos;
		// An unresolved write expected an older version and can't be applied any more.
		this.unresolvedSinceNanos = OptionalLong.empty();
		hold(object.version(), this.writeSentNanos);
		this.nextStepNanos = this.writeSentNanos + nanos(this.settings.renewMillis());
	}

	void writeFailed(StoreError error, long nowNanos) {
		this.callInFlight = false;
		if (error == StoreError.UNRESOLVED && this.unresolvedSinceNanos.isEmpty()) {
			this.unresolvedSinceNanos = OptionalLong.of(this.writeSentNanos);
		}
		boolean retriesAtOnce = error == StoreError.UNRESOLVED || error == StoreError.CONFLICT;
		readAfter((retriesAtOnce) ? 0 : this.settings.leasePollMillis(), nowNanos);
	}

	/**
	 * Reads the lease at the next step, since an engine knows a higher number.
	 * @param nowNanos the time
	 */
	void doubt(long nowNanos) {
		readAfter(0, nowNanos);
	}

	/**
	 * Returns the fencing number when an order sent now would be in time.
	 * @param nowNanos the time
	 * @return the number; empty when this VM must not order
	 */
	OptionalLong fencingNumber(long nowNanos) {
		return (nowNanos <= orderNotAfterNanos()) ? this.heldNumber : OptionalLong.empty();
	}

	long orderNotAfterNanos() {
		return this.heldUntilNanos - nanos(this.settings.orderTimeoutMillis());
	}

	/**
	 * Counts how often the lease was taken over by this VM.
	 * @return the count
	 */
	long tenure() {
		return this.tenure;
	}

	OptionalLong wakeNanos() {
		return (this.callInFlight) ? OptionalLong.empty() : OptionalLong.of(this.nextStepNanos);
	}

	private void readMine(OrderLease lease) {
		boolean known = this.heldNumber.isPresent() && this.heldNumber.getAsLong() == lease.fencingNumber();
		if (!known && this.unresolvedSinceNanos.isPresent()) {
			hold(lease.fencingNumber(), this.unresolvedSinceNanos.getAsLong());
			this.unresolvedSinceNanos = OptionalLong.empty();
		}
	}

	private void hold(long number, long sentNanos) {
		if (this.heldNumber.isEmpty()) {
			this.tenure++;
		}
		this.heldNumber = OptionalLong.of(number);
		this.heldUntilNanos = sentNanos + nanos(this.settings.ttlMillis());
	}

	private void readAfter(long millis, long nowNanos) {
		this.mustRead = true;
		this.nextStepNanos = nowNanos + nanos(millis);
	}

	private boolean isMine(OrderLease lease) {
		return lease.holder().equals(this.holder);
	}

	// The holder's own time to live counts, not that of this VM.
	private long waitOutNanos(OrderLease lease) {
		return nanos(lease.ttlMillis() + this.settings.orderTimeoutMillis());
	}

	private static long nanos(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

}
