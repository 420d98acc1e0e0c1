package org.burdocktray.process.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides which upstreams get no new work because their requests fail. An upstream is
 * ejected after several failures in a row or at a high failure rate. When its ejection
 * ends, one probe decides whether it comes back or is ejected for twice as long.
 * Invariant: within a group at most the allowed share is ejected or on probe at a time;
 * that share is rounded down, so that the only upstream of a group is never ejected.
 * Thread safety: none, confined to one event loop.
 */
public final class OutlierEjection {

	private final EjectionSettings settings;

	private final Map<String, HealthRecord> upstreams = new LinkedHashMap<>();

	private final Map<String, Integer> groupSizes = new HashMap<>();

	private final Map<String, Integer> groupEjections = new HashMap<>();

	/**
	 * Creates the decision for no upstreams.
	 * @param settings its bounds
	 */
	public OutlierEjection(EjectionSettings settings) {
		this.settings = settings;
	}

	/**
	 * Adds an upstream in good health. An upstream that is known already is left as it
	 * is.
	 * @param upstreamName the name of the upstream
	 * @param group what it can be replaced within, such as a model's layer range
	 * @param nowNanos the present time
	 */
	public void add(String upstreamName, String group, long nowNanos) {
		if (this.upstreams.putIfAbsent(upstreamName, new HealthRecord(group, nowNanos)) == null) {
			this.groupSizes.merge(group, 1, Integer::sum);
		}
	}

	/**
	 * Removes an upstream.
	 * @param upstreamName the name of the upstream
	 */
	public void remove(String upstreamName) {
		HealthRecord removed = this.upstreams.remove(upstreamName);
		if (removed == null) {
			return;
		}
		this.groupSizes.merge(removed.group(), -1, Integer::sum);
		if (removed.phase() != HealthRecord.Phase.HEALTHY) {
			this.groupEjections.merge(removed.group(), -1, Integer::sum);
		}
	}

	/**
	 * Takes in a request that succeeded.
	 * @param upstreamName the name of the upstream
	 * @param nowNanos the present time
	 * @return what follows from it
	 */
	public Optional<EjectionAction> recordSuccess(String upstreamName, long nowNanos) {
		HealthRecord health = this.upstreams.get(upstreamName);
		if (health == null || health.phase() == HealthRecord.Phase.EJECTED) {
			return Optional.empty();
		}
		if (health.phase() == HealthRecord.Phase.HEALTHY) {
			health.recordSuccess(nowNanos, this.settings);
			return Optional.empty();
		}
		health.restore(nowNanos);
		this.groupEjections.merge(health.group(), -1, Integer::sum);
		return Optional.of(new EjectionAction.Restore(upstreamName));
	}

	/**
	 * Takes in a request that failed by the upstream's fault.
	 * @param upstreamName the name of the upstream
	 * @param nowNanos the present time
	 * @return what follows from it
	 */
	public Optional<EjectionAction> recordFailure(String upstreamName, long nowNanos) {
		HealthRecord health = this.upstreams.get(upstreamName);
		if (health == null || health.phase() == HealthRecord.Phase.EJECTED) {
			return Optional.empty();
		}
		if (health.phase() == HealthRecord.Phase.PROBING) {
			return Optional.of(eject(upstreamName, health, nowNanos));
		}
		health.recordFailure(nowNanos, this.settings);
		if (!health.isOutlier(this.settings) || !canEject(health.group())) {
			return Optional.empty();
		}
		this.groupEjections.merge(health.group(), 1, Integer::sum);
		return Optional.of(eject(upstreamName, health, nowNanos));
	}

	/**
	 * Takes in the passing of time.
	 * @param nowNanos the present time
	 * @return the upstreams to probe
	 */
	public List<EjectionAction> tick(long nowNanos) {
		List<EjectionAction> actions = new ArrayList<>();
		this.upstreams.forEach((name, health) -> {
			if (health.startProbe(nowNanos, this.settings)) {
				actions.add(new EjectionAction.Probe(name));
			}
		});
		return actions;
	}

	private EjectionAction eject(String upstreamName, HealthRecord health, long nowNanos) {
		long durationNanos = health.eject(nowNanos, this.settings);
		return new EjectionAction.Eject(upstreamName, durationNanos);
	}

	private boolean canEject(String group) {
		int most = (int) (this.groupSizes.get(group) * this.settings.maxEjectedShare());
		return this.groupEjections.getOrDefault(group, 0) < most;
	}

}
