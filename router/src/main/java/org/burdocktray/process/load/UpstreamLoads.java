package org.burdocktray.process.load;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

/**
 * This VM's local view of the load and health of the upstreams. Invariant: an upstream's
 * own count is the number of its open {@link InFlight} handles. Thread safety: all
 * methods can be called from any thread and never block a reader.
 */
public final class UpstreamLoads implements LoadView {

	private final Map<String, UpstreamState> states = new ConcurrentHashMap<>();

	private final LongSupplier nanoClock;

	/**
	 * Creates a view without upstreams.
	 * @param nanoClock the monotonic clock, in nanoseconds
	 */
	public UpstreamLoads(LongSupplier nanoClock) {
		this.nanoClock = nanoClock;
	}

	@Override
	public UpstreamStatus status(String upstreamName) {
		UpstreamState state = this.states.get(upstreamName);
		return (state != null) ? state.status(this.nanoClock.getAsLong()) : UpstreamStatus.unknown();
	}

	/**
	 * Records the start of a request at an upstream.
	 * @param upstreamName the name of the upstream
	 * @return the handle that records its end when closed
	 */
	public InFlight acquire(String upstreamName) {
		UpstreamState state = state(upstreamName);
		state.recordStart();
		AtomicBoolean open = new AtomicBoolean(true);
		return () -> {
			if (open.compareAndSet(true, false)) {
				state.recordEnd();
			}
		};
	}

	/**
	 * Records an upstream's load report.
	 * @param upstreamName the name of the upstream
	 * @param inFlight the reported number of requests of all VMs
	 */
	public void recordReport(String upstreamName, int inFlight) {
		state(upstreamName).recordReport(inFlight, this.nanoClock.getAsLong());
	}

	/**
	 * Marks an upstream as new and begins its slow start.
	 * @param upstreamName the name of the upstream
	 */
	public void markJoined(String upstreamName) {
		state(upstreamName).changeHealth((health) -> new UpstreamState.Health(false, false, nowNanos()));
	}

	/**
	 * Marks an upstream as leaving.
	 * @param upstreamName the name of the upstream
	 */
	public void markLeaving(String upstreamName) {
		state(upstreamName)
			.changeHealth((health) -> new UpstreamState.Health(true, health.ejected(), health.inServiceSinceNanos()));
	}

	/**
	 * Marks an upstream as ejected after failures, so that it receives no new work.
	 * @param upstreamName the name of the upstream
	 */
	public void markEjected(String upstreamName) {
		state(upstreamName)
			.changeHealth((health) -> new UpstreamState.Health(health.leaving(), true, health.inServiceSinceNanos()));
	}

	/**
	 * Marks an ejected upstream as recovered and begins its slow start.
	 * @param upstreamName the name of the upstream
	 */
	public void markRecovered(String upstreamName) {
		state(upstreamName).changeHealth((health) -> new UpstreamState.Health(health.leaving(), false, nowNanos()));
	}

	/**
	 * Removes all upstreams except those of a new bundle. Handles of removed upstreams
	 * can still be closed.
	 * @param upstreamNames the names of the upstreams to keep
	 */
	public void retain(Set<String> upstreamNames) {
		this.states.keySet().retainAll(upstreamNames);
	}

	/**
	 * Returns the upstreams that receive no new work.
	 * @return the names of those that are leaving or ejected
	 */
	public Set<String> outOfService() {
		return this.states.entrySet()
			.stream()
			.filter((entry) -> !entry.getValue().isAvailable())
			.map(Map.Entry::getKey)
			.collect(Collectors.toUnmodifiableSet());
	}

	private long nowNanos() {
		return this.nanoClock.getAsLong();
	}

	private UpstreamState state(String upstreamName) {
		return this.states.computeIfAbsent(upstreamName, (ignored) -> new UpstreamState());
	}

}
