package org.burdocktray.process.serve;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

import org.burdocktray.version.gate.BundleGate;
import org.burdocktray.version.routing.RoutingSnapshot;

/**
 * Holds the version that new requests pin: the bundle in force, with route weights
 * computed for the upstreams that are in service. Invariant: its bundle version never
 * decreases. Thread safety: {@link #get()} is safe for use by multiple threads and
 * returns a consistent version; {@link #refresh()} must be called by one thread.
 */
final class CurrentVersion {

	private final BundleGate gate;

	private final Supplier<Set<String>> outOfServiceSupplier;

	private final AtomicReference<Optional<PinnedVersion>> pinned = new AtomicReference<>(Optional.empty());

	private Set<String> outOfService = Set.of();

	CurrentVersion(BundleGate gate, Supplier<Set<String>> outOfServiceSupplier) {
		this.gate = gate;
		this.outOfServiceSupplier = outOfServiceSupplier;
	}

	Optional<PinnedVersion> get() {
		return this.pinned.get();
	}

	void refresh() {
		Optional<RoutingSnapshot> inForce = this.gate.current();
		if (inForce.isEmpty()) {
			return;
		}
		Set<String> currentOutOfService = this.outOfServiceSupplier.get();
		long pinnedVersion = this.pinned.get().map((version) -> version.snapshot().bundle().version()).orElse(0L);
		if (pinnedVersion == inForce.get().bundle().version() && currentOutOfService.equals(this.outOfService)) {
			return;
		}
		this.outOfService = currentOutOfService;
		RoutingSnapshot base = this.pinned.get().map(PinnedVersion::snapshot).orElse(inForce.get());
		this.pinned.set(Optional.of(PinnedVersion.of(base.next(inForce.get().bundle(), currentOutOfService))));
	}

}
