package org.burdocktray.process.restore;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.burdocktray.process.freshness.RulesFreshness.Timestamp;
import org.jboss.logging.Logger;

/**
 * The eras of the platform's store, as far as its answers have shown them. A store that
 * returns from a copy begins an era; what its operator and the replicas wrote since the
 * copy was made, they write again. Until that has settled, the store may lack changes
 * that it has acknowledged. An era has begun by the time at which the first VM has seen
 * it, so the VMs tell each other since when they know it. Invariants: the era never
 * decreases; an answer of an earlier era changes nothing; listeners are told before the
 * answer that shows the era is used. Thread safety: none, confined to one event loop.
 */
public final class StoreEras {

	/**
	 * How long after a return the operator and the replicas have written again; entries
	 * that expired in an outage are back within that time as well.
	 */
	public static final long SETTLE_MILLIS = 2_000;

	private static final long SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(SETTLE_MILLIS);

	/** The era of a store that has never returned from a copy. */
	private static final long FIRST_ERA = 1;

	private static final Logger LOGGER = Logger.getLogger(StoreEras.class);

	private final Supplier<Timestamp> clock;

	private final List<Listener> listeners = new ArrayList<>();

	private OptionalLong current = OptionalLong.empty();

	/** When the present era was learned, empty if it is the first one. */
	private Optional<Timestamp> begunAt = Optional.empty();

	/**
	 * Creates an instance that knows no era.
	 * @param clock reads the clocks
	 */
	public StoreEras(Supplier<Timestamp> clock) {
		this.clock = clock;
	}

	/**
	 * Adds a listener.
	 * @param listener is told of each era but the first one that is seen
	 */
	public void addListener(Listener listener) {
		this.listeners.add(listener);
	}

	/**
	 * Records the era of an answer of the store.
	 * @param era the era
	 * @return whether the answer may be used; false if it is of an earlier era
	 */
	public boolean record(long era) {
		return record(era, 0);
	}

	/**
	 * Records the era that another VM knows.
	 * @param era the era
	 * @param ageMillis how long it is known already, not counting the way of the message
	 * @return whether what the VM sends may be used; false if it is of an earlier era
	 */
	public boolean record(long era, long ageMillis) {
		boolean isUsable = advance(era);
		if (isUsable && ageMillis > 0) {
			Timestamp knownSince = this.clock.get().minusMillis(ageMillis);
			this.begunAt = this.begunAt.map((begun) -> begun.isAfter(knownSince) ? knownSince : begun);
		}
		return isUsable;
	}

	private boolean advance(long era) {
		if (this.current.isPresent() && era <= this.current.getAsLong()) {
			return era == this.current.getAsLong();
		}
		OptionalLong previous = this.current;
		this.current = OptionalLong.of(era);
		if (era <= FIRST_ERA && previous.isEmpty()) {
			return true;
		}
		// A VM that starts does not know when the era has begun.
		this.begunAt = Optional.of(this.clock.get());
		if (previous.isPresent()) {
			LOGGER.warnf("Store has returned from a copy: era=%d before=%d", era, previous.getAsLong());
			List.copyOf(this.listeners).forEach(Listener::onNewEra);
		}
		return true;
	}

	/**
	 * Returns whether an answer has shown the era.
	 * @return whether the era is known
	 */
	public boolean isKnown() {
		return this.current.isPresent();
	}

	/**
	 * Returns the present era.
	 * @return the era, 0 if no answer has shown one
	 */
	public long current() {
		return this.current.orElse(0);
	}

	/**
	 * Returns whether the store has returned from a copy, as far as its era tells.
	 * @return true in all eras but the first one
	 */
	public boolean hasReturned() {
		return current() > FIRST_ERA;
	}

	/**
	 * Returns how long the present era has been known, to this VM or to one that has told
	 * it.
	 * @return milliseconds, 0 for the first era
	 */
	public long ageMillis() {
		Timestamp now = this.clock.get();
		return this.begunAt.map((begun) -> TimeUnit.NANOSECONDS.toMillis(now.monotonicNanos() - begun.monotonicNanos()))
			.orElse(0L);
	}

	/**
	 * Returns the era of a message that does not tell it. Builds that don't know eras
	 * send such messages; they don't notice a return of the store.
	 * @return the present era or the first one, whichever is earlier
	 */
	public long eraOfOlderBuilds() {
		return Math.min(FIRST_ERA, current());
	}

	/**
	 * Returns whether the state of the store at a time showed the changes that it had
	 * acknowledged in earlier eras.
	 * @param time the time
	 * @return false if it was before the era has settled
	 */
	public boolean isSettledAt(Timestamp time) {
		return this.begunAt.filter((begun) -> time.monotonicNanos() - begun.monotonicNanos() < SETTLE_NANOS).isEmpty();
	}

	/**
	 * Learns of returns of the store.
	 */
	@FunctionalInterface
	public interface Listener {

		/** Handles the beginning of an era, before any of its answers is used. */
		void onNewEra();

	}

}
