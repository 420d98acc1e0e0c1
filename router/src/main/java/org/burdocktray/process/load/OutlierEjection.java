package org.burdocktray.process.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Ejects upstreams whose requests fail, so that they receive no new work. An upstream is
 * ejected after several consecutive failures or at a high failure rate. When its ejection
 * ends, one probe decides whether it is restored or ejected for twice as long. Invariant:
 * within a group at most the allowed fraction is ejected or being probed at the same
 * time; the resulting number is rounded down, so that the only upstream of a group is
 * never ejected. Thread safety: not thread-safe, confined to one event loop.
 */
public final class OutlierEjection {

	private final EjectionSettings settings;

	private final Map<String, HealthRecord> upstreams = new LinkedHashMap<>();

	private final Map<String, Integer> groupSizes = new HashMap<>();

	private final Map<String, Integer> groupEjections = new HashMap<>();

	/**
	 * Creates an outlier ejection without upstreams.
	 * @param settings the settings to use
	 */
	public OutlierEjection(EjectionSettings settings) {
		this.settings = settings;
	}

	/**
	 * Adds a healthy upstream. Has no effect if the upstream was already added.
	 * @param upstreamName the name of the upstream
	 * @param group the upstreams that can replace it, such as those of a model's layer
	 * range
	 * @param nowNanos the current time
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
	 * Records a successful request.
	 * @param upstreamName the name of the upstream
	 * @param nowNanos the current time
	 * @return the resulting action, if any
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
	 * Records a request that failed because of the upstream.
	 * @param upstreamName the name of the upstream
	 * @param nowNanos the current time
	 * @return the resulting action, if any
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
	 * Starts the probes that are due.
	 * @param nowNanos the current time
	 * @return the probes to send
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
		int maxEjections = (int) (this.groupSizes.get(group) * this.settings.maxEjectedShare());
		return this.groupEjections.getOrDefault(group, 0) < maxEjections;
	}

}
