package org.burdocktray.version.rules;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Holds the routing rules in force. Invariant: the version never decreases within a
 * process. Thread safety: lock-free; readers see one consistent version.
 */
public final class RulesGate {

	private final AtomicReference<RoutingRules> current = new AtomicReference<>();

	/**
	 * Puts a version in force if it is newer than the current one.
	 * @param next the rules
	 * @return whether the rules were put in force
	 */
	public boolean offer(RoutingRules next) {
		RoutingRules previous = this.current.get();
		while (previous == null || previous.version() < next.version()) {
			if (this.current.compareAndSet(previous, next)) {
				return true;
			}
			previous = this.current.get();
		}
		return false;
	}

	/**
	 * Returns the rules in force.
	 * @return the rules, empty until the first version is in force
	 */
	public Optional<RoutingRules> current() {
		return Optional.ofNullable(this.current.get());
	}

}
