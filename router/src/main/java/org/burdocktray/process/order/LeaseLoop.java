package org.burdocktray.process.order;

import java.util.Optional;
import java.util.OptionalLong;

import io.vavr.control.Either;
import org.burdocktray.connection.platform.PlatformStore;
import org.burdocktray.connection.platform.StoreError;
import org.burdocktray.connection.platform.StoredObject;

/**
 * Acquires and renews one lease in the platform's store. Thread safety: none; confined to
 * one thread, on which the store's responses must arrive as well.
 */
public final class LeaseLoop {

	private final PlatformStore store;

	private final String key;

	private final LeaseKeeper keeper;

	/**
	 * Creates the loop.
	 * @param store the platform's store
	 * @param key the key of the lease in the store
	 * @param holder the unique name of this process
	 * @param settings the intervals and timeouts
	 * @param nowNanos the time
	 */
	public LeaseLoop(PlatformStore store, String key, String holder, OrderSettings settings, long nowNanos) {
		this.store = store;
		this.key = key;
		this.keeper = new LeaseKeeper(holder, settings, nowNanos);
	}

	/**
	 * Sets when the lease of another holder is read, from the next read on.
	 * @param schedule replaces the interval of the settings
	 */
	public void setPolling(LeasePolling.Schedule schedule) {
		this.keeper.setPolling(schedule);
	}

	/**
	 * Handles that the store has returned from a copy, or may have before this VM
	 * started.
	 * @param nowNanos the time
	 */
	public void onNewEra(long nowNanos) {
		this.keeper.onNewEra(nowNanos);
	}

	/**
	 * Performs the store call that is due, if any.
	 * @param nowNanos the time
	 */
	public void tick(long nowNanos) {
		this.keeper.nextCall(nowNanos).ifPresent(this::perform);
	}

	/**
	 * Returns whether an order may be sent now.
	 * @param nowNanos the time
	 * @return true when the lease remains valid for at least the order timeout
	 */
	public boolean mayOrder(long nowNanos) {
		return this.keeper.fencingNumber(nowNanos).isPresent();
	}

	/**
	 * Returns the fencing number for an order that is sent now.
	 * @param nowNanos the time
	 * @return the number, empty when this VM must not send orders
	 */
	public OptionalLong fencingNumber(long nowNanos) {
		return this.keeper.fencingNumber(nowNanos);
	}

	private void perform(OrderAction action) {
		if (action instanceof OrderAction.WriteLease write) {
			var call = write.expectedVersion().isPresent()
					? this.store.update(this.key, write.expectedVersion().get(), write.value())
					: this.store.create(this.key, write.value());
			call.subscribe(this::onWritten);
			return;
		}
		this.store.read(this.key).subscribe(this::onRead);
	}

	private void onWritten(Either<StoreError, StoredObject> result) {
		long nowNanos = System.nanoTime();
		result.peek((object) -> this.keeper.onWritten(object, nowNanos))
			.peekLeft((error) -> this.keeper.onWriteFailed(error, nowNanos));
	}

	private void onRead(Either<StoreError, Optional<StoredObject>> result) {
		long nowNanos = System.nanoTime();
		result.peek((object) -> this.keeper.onRead(object, nowNanos))
			.peekLeft((error) -> this.keeper.onReadFailed(nowNanos));
	}

}
