package org.burdocktray.process.load;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;

/**
 * The load and health of one upstream. Invariant: the own count is never negative. Thread
 * safety: lock-free; a status may combine values read at slightly different times.
 */
final class UpstreamState {

	private final AtomicInteger ownInFlight = new AtomicInteger();

	private final AtomicReference<Optional<Report>> report = new AtomicReference<>(Optional.empty());

	private final AtomicReference<Health> health = new AtomicReference<>(Health.LONG_IN_SERVICE);

	void recordStart() {
		this.ownInFlight.incrementAndGet();
	}

	void recordEnd() {
		this.ownInFlight.decrementAndGet();
	}

	void recordReport(int inFlight, long nowNanos) {
		this.report.set(Optional.of(new Report(inFlight, this.ownInFlight.get(), nowNanos)));
	}

	void changeHealth(UnaryOperator<Health> change) {
		this.health.updateAndGet(change);
	}

	boolean isAvailable() {
		return this.health.get().availability() == UpstreamStatus.Availability.AVAILABLE;
	}

	UpstreamStatus status(long nowNanos) {
		int own = this.ownInFlight.get();
		Health current = this.health.get();
		long inServiceNanos = current.inServiceNanos(nowNanos);
		Optional<Report> last = this.report.get();
		if (last.isEmpty()) {
			return new UpstreamStatus(own, own, Long.MAX_VALUE, current.availability(), inServiceNanos);
		}
		return new UpstreamStatus(own, last.get().estimateInFlight(own), nowNanos - last.get().receivedNanos(),
				current.availability(), inServiceNanos);
	}

	/**
	 * A load report. Thread safety: immutable.
	 *
	 * @param inFlight the reported number of requests of all VMs
	 * @param ownInFlight the number of this VM's own requests when the report was
	 * received
	 * @param receivedNanos the time at which the report was received
	 */
	private record Report(int inFlight, int ownInFlight, long receivedNanos) {

		/**
		 * Adjusts the report by the requests that this VM has started and ended since it
		 * was received. The number of requests of the other VMs is assumed to be
		 * unchanged.
		 * @param ownInFlightNow the current number of this VM's own requests
		 * @return the estimated number of requests of all VMs
		 */
		int estimateInFlight(int ownInFlightNow) {
			return Math.max(ownInFlightNow, this.inFlight + ownInFlightNow - this.ownInFlight);
		}

	}

	/**
	 * Determines whether an upstream may receive new work. Thread safety: immutable.
	 *
	 * @param leaving whether it is leaving
	 * @param ejected whether it was ejected because of failures
	 * @param inServiceSinceNanos the time at which it became available;
	 * {@link Long#MIN_VALUE} if it has been available for a long time
	 */
	record Health(boolean leaving, boolean ejected, long inServiceSinceNanos) {

		static final Health LONG_IN_SERVICE = new Health(false, false, Long.MIN_VALUE);

		UpstreamStatus.Availability availability() {
			if (this.leaving) {
				return UpstreamStatus.Availability.LEAVING;
			}
			return (this.ejected) ? UpstreamStatus.Availability.EJECTED : UpstreamStatus.Availability.AVAILABLE;
		}

		long inServiceNanos(long nowNanos) {
			return (this.inServiceSinceNanos == Long.MIN_VALUE) ? Long.MAX_VALUE : nowNanos - this.inServiceSinceNanos;
		}

	}

}
