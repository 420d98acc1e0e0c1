package org.burdocktray.version.gate;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.processors.BehaviorProcessor;
import io.reactivex.rxjava3.processors.FlowableProcessor;
import org.burdocktray.version.routing.RoutingSnapshot;

/**
 * Holds the bundle version in force. Invariant: the version never decreases; an equal or
 * lower version is ignored. Thread safety: lock-free; readers see one consistent
 * snapshot.
 */
public final class BundleGate {

	private final AtomicReference<Optional<RoutingSnapshot>> inForce = new AtomicReference<>(Optional.empty());

	private final FlowableProcessor<RoutingSnapshot> changes = BehaviorProcessor.<RoutingSnapshot>create()
		.toSerialized();

	/**
	 * Puts a snapshot in force if its version is newer than the current one.
	 * @param candidate the snapshot of a verified bundle
	 * @return whether the snapshot was put in force
	 */
	public boolean offer(RoutingSnapshot candidate) {
		Optional<RoutingSnapshot> previous = this.inForce
			.getAndUpdate((current) -> isNewer(candidate, current) ? Optional.of(candidate) : current);
		if (!isNewer(candidate, previous)) {
			return false;
		}
		this.changes.onNext(candidate);
		return true;
	}

	/**
	 * Returns the snapshot in force.
	 * @return the snapshot, empty until the first one is in force
	 */
	public Optional<RoutingSnapshot> current() {
		return this.inForce.get();
	}

	/**
	 * Returns the version in force.
	 * @return the version, 0 until the first one is in force
	 */
	public long currentVersion() {
		return current().map((snapshot) -> snapshot.bundle().version()).orElse(0L);
	}

	/**
	 * Returns the snapshots put in force, starting with the current one. Concurrent
	 * offers may be emitted in either order, so subscribers must read {@link #current()}
	 * for the snapshot in force.
	 * @return the changes; only the latest one is buffered for a slow subscriber
	 */
	public Flowable<RoutingSnapshot> changes() {
		return this.changes.onBackpressureLatest();
	}

	private static boolean isNewer(RoutingSnapshot candidate, Optional<RoutingSnapshot> current) {
		return current.isEmpty() || candidate.bundle().version() > current.get().bundle().version();
	}

}
