package org.burdocktray.process.order;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.burdocktray.connection.engine.LoadedModel;

/**
 * State of the orders and load queries to one engine. Invariant: at most one call to the
 * engine is in flight, so that a load report requested before an order is never mistaken
 * for one requested after it. Thread safety: confined to one thread at a time.
 */
final class EngineOrderState {

	private final OrderSettings settings;

	private OrderTarget target;

	private boolean callInFlight;

	private boolean loadedModelDiffers;

	private boolean callOutdated;

	private OptionalLong acceptedAtNanos = OptionalLong.empty();

	private long nextOrderNanos;

	private long nextLoadQueryNanos;

	EngineOrderState(OrderTarget target, OrderSettings settings, long nowNanos) {
		this.target = target;
		this.settings = settings;
		this.nextOrderNanos = nowNanos;
		this.nextLoadQueryNanos = nowNanos;
	}

	OrderTarget target() {
		return this.target;
	}

	void replaceTarget(OrderTarget newTarget, long nowNanos) {
		if (newTarget.equals(this.target)) {
			return;
		}
		this.target = newTarget;
		resetOrder(nowNanos);
	}

	/**
	 * Discards the acceptance of earlier orders, including that of an order in flight,
	 * because another holder may have sent orders since.
	 * @param nowNanos the time
	 */
	void resetOrder(long nowNanos) {
		this.callOutdated = this.callInFlight;
		this.acceptedAtNanos = OptionalLong.empty();
		this.nextOrderNanos = nowNanos;
	}

	boolean isOrderDue(long nowNanos) {
		return !this.callInFlight && nowNanos >= nextOrderDueNanos();
	}

	boolean isLoadQueryDue(long nowNanos) {
		return !this.callInFlight && nowNanos >= this.nextLoadQueryNanos;
	}

	void recordOrderSent(long nowNanos) {
		this.callInFlight = true;
		this.nextOrderNanos = nowNanos + nanos(this.settings.retryMillis());
	}

	void recordLoadQuerySent(long nowNanos) {
		this.callInFlight = true;
		this.nextLoadQueryNanos = nowNanos + nanos(this.settings.loadPollMillis());
	}

	void recordOrderAccepted(long nowNanos) {
		endCall();
		if (this.callOutdated) {
			this.callOutdated = false;
			return;
		}
		this.loadedModelDiffers = false;
		this.acceptedAtNanos = OptionalLong.of(nowNanos);
	}

	void recordOrderFailed() {
		endCall();
		this.callOutdated = false;
	}

	void recordLoadReport(Optional<LoadedModel> loadedModel) {
		endCall();
		this.callOutdated = false;
		LoadedModel desired = new LoadedModel(this.target.desired().model(), this.target.desired().modelVersion());
		this.loadedModelDiffers = loadedModel.map((reported) -> !reported.equals(desired))
			.orElse(this.loadedModelDiffers);
	}

	OptionalLong nextDueNanos() {
		if (this.callInFlight) {
			return OptionalLong.empty();
		}
		return OptionalLong.of(Math.min(nextOrderDueNanos(), this.nextLoadQueryNanos));
	}

	private long nextOrderDueNanos() {
		if (this.loadedModelDiffers || this.acceptedAtNanos.isEmpty()) {
			return this.nextOrderNanos;
		}
		return this.acceptedAtNanos.getAsLong() + nanos(this.settings.reaffirmMillis());
	}

	private void endCall() {
		this.callInFlight = false;
	}

	private static long nanos(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

}
