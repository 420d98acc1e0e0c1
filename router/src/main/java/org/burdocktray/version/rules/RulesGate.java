package org.burdocktray.version.rules;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Holds the rules in force. Invariant: the version never decreases within a process.
 * Thread safety: lock-free; readers see one version.
 */
public final class RulesGate {

	private final AtomicReference<RoutingRules> current = new AtomicReference<>();

	/**
	 * Puts a version in force unless the present one is as new.
	 * @param next the version
	 * @return whether it is in force now and was not before
	 */
	public boolean offer(RoutingRules next) {
		RoutingRules held = this.current.get();
		while (held == null || held.version() < next.version()) {
			if (this.current.compareAndSet(held, next)) {
				return true;
			}
			held = this.current.get();
		}
		return false;
	}

	/**
	 * Returns the rules in force.
	 * @return the rules, or empty until the first version has come
	 */
	public Optional<RoutingRules> current() {
		return Optional.ofNullable(this.current.get());
	}

}
