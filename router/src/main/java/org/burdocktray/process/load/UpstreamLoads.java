package org.burdocktray.process.load;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

/**
 * What this VM knows of the upstreams' load and health. Invariant: an upstream's own
 * count is the number of its {@link InFlight} handles that are not closed. Thread safety:
 * all methods can be called from any thread and never block a reader.
 */
public final class UpstreamLoads implements LoadView {

	private final Map<String, UpstreamState> states = new ConcurrentHashMap<>();

	private final LongSupplier nanoClock;

	/**
	 * Creates the view of no upstreams.
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
	 * Counts a request that starts at an upstream.
	 * @param upstreamName the name of the upstream
	 * @return the handle that ends it
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
	 * Takes in an upstream's load report.
	 * @param upstreamName the name of the upstream
	 * @param inFlight the requests of all VMs there, as reported
	 */
	public void recordReport(String upstreamName, int inFlight) {
		state(upstreamName).recordReport(inFlight, this.nanoClock.getAsLong());
	}

	/**
	 * Notes that an upstream is new and starts slowly.
	 * @param upstreamName the name of the upstream
	 */
	public void markJoined(String upstreamName) {
		state(upstreamName).changeHealth((health) -> new UpstreamState.Health(false, false, nowNanos()));
	}

	/**
	 * Notes that an upstream is leaving.
	 * @param upstreamName the name of the upstream
	 */
	public void markLeaving(String upstreamName) {
		state(upstreamName)
			.changeHealth((health) -> new UpstreamState.Health(true, health.ejected(), health.inServiceSinceNanos()));
	}

	/**
	 * Notes that an upstream failed and gets no new work.
	 * @param upstreamName the name of the upstream
	 */
	public void markEjected(String upstreamName) {
		state(upstreamName)
			.changeHealth((health) -> new UpstreamState.Health(health.leaving(), true, health.inServiceSinceNanos()));
	}

	/**
	 * Notes that an ejected upstream has recovered. It starts slowly.
	 * @param upstreamName the name of the upstream
	 */
	public void markRecovered(String upstreamName) {
		state(upstreamName).changeHealth((health) -> new UpstreamState.Health(health.leaving(), false, nowNanos()));
	}

	/**
	 * Forgets all upstreams but those of a new bundle. Handles of forgotten ones can
	 * still be closed.
	 * @param upstreamNames the names of the upstreams to keep
	 */
	public void retain(Set<String> upstreamNames) {
		this.states.keySet().retainAll(upstreamNames);
	}

	/**
	 * Lists the upstreams that get no new work.
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
