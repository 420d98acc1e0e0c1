package org.burdocktray.request.hedge;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.burdocktray.process.directory.Replica;
import org.burdocktray.process.limits.FleetRetryBudget;
import org.burdocktray.process.settings.GatewayOptions.HedgingOptions;

/**
 * Decides when a late request gets a second run. Invariants: only repeatable requests
 * that are not suspected of crashing replicas do, once each; the hedged runs of this VM
 * stay within its part of the fleet's limit, and leave half of the retry budget to
 * failures. Thread safety: none, confined to one event loop.
 */
public final class HedgePolicy {

	/** The share of the retry budget that is left to failures. */
	private static final double RESERVED_BUDGET_SHARE = 0.5;

	private final FleetRetryBudget retryBudget;

	private final HedgeCapacity capacity;

	private final HedgeDelays delays;

	private final HedgeLimit limit;

	private final OverdueShare overdueShare = new OverdueShare();

	/**
	 * Creates the policy of a process that has hedged nothing yet.
	 * @param options the options of its operators
	 * @param windowNanos the window of the retry budget
	 * @param retryBudget the fleet's budget of arrivals beyond the first
	 * @param capacity knows whether there is capacity for second runs
	 */
	public HedgePolicy(HedgingOptions options, long windowNanos, FleetRetryBudget retryBudget, HedgeCapacity capacity) {
		this.retryBudget = retryBudget;
		this.capacity = capacity;
		this.delays = new HedgeDelays(options.delayQuantile(), TimeUnit.MILLISECONDS.toNanos(options.minDelayMillis()));
		this.limit = new HedgeLimit(options.maxRequestShare(), options.extraRuns(), windowNanos);
	}

	/**
	 * Sets the number of VMs that share the limit.
	 * @param count the largest possible number of VMs
	 */
	public void setVmCount(int count) {
		this.limit.setVmCount(count);
	}

	/**
	 * Records a request, which adds to the allowance.
	 * @param service the name of its service
	 * @param organisation the name of its organisation, empty on public routes
	 * @param nowNanos the monotonic time
	 */
	public void recordRequest(String service, String organisation, long nowNanos) {
		this.limit.recordRequest(service, organisation, nowNanos);
	}

	/**
	 * Records that the run of a request starts, and returns when it counts as late.
	 * @param hedgeClass the class of the request
	 * @param nowNanos the monotonic time
	 * @return the time after which a second run is considered, empty if none is known
	 */
	public OptionalLong recordStart(HedgeClass hedgeClass, long nowNanos) {
		OptionalLong delayNanos = this.delays.delayNanos(hedgeClass, nowNanos);
		if (delayNanos.isPresent()) {
			this.overdueShare.recordStart(hedgeClass.service(), nowNanos);
		}
		return delayNanos;
	}

	/**
	 * Records the time of the first event of a first run, or the time at which it was
	 * cancelled since the second one has won.
	 * @param hedgeClass the class of the request
	 * @param elapsedNanos the time since it was sent
	 * @param nowNanos the monotonic time
	 */
	public void recordFirstEvent(HedgeClass hedgeClass, long elapsedNanos, long nowNanos) {
		this.delays.record(hedgeClass, elapsedNanos, nowNanos);
	}

	/**
	 * Decides whether a request that is late now may get a second run. Must be asked once
	 * for each late request.
	 * @param candidate the request
	 * @param nowNanos the monotonic time
	 * @return the obstacle, empty if it may
	 */
	public Optional<HedgeObstacle> findObstacle(HedgeCandidate candidate, long nowNanos) {
		this.overdueShare.recordOverdue(candidate.service(), nowNanos);
		Optional<HedgeObstacle> ownObstacle = candidate.findObstacle();
		if (ownObstacle.isPresent()) {
			return ownObstacle;
		}
		if (this.overdueShare.isServiceSlow(candidate.service(), nowNanos)) {
			return Optional.of(HedgeObstacle.SERVICE_SLOW);
		}
		if (!this.limit.hasRun(candidate.service(), candidate.organisation(), nowNanos)) {
			return Optional.of(HedgeObstacle.LIMIT);
		}
		return this.retryBudget.hasRetryBeyond(RESERVED_BUDGET_SHARE, candidate.service(), nowNanos) ? Optional.empty()
				: Optional.of(HedgeObstacle.BUDGET);
	}

	/**
	 * Returns whether replicas have capacity for a second run.
	 * @param service the name of the service
	 * @param replicas the replicas that it would run on
	 * @return false if first runs need what is left
	 */
	public boolean hasCapacity(String service, List<Replica> replicas) {
		return this.capacity.isAvailable(service, replicas);
	}

	/**
	 * Takes one run from the limit. The run is charged to the retry budget by the caller.
	 * @param candidate the request
	 * @param nowNanos the monotonic time
	 * @return false if the limit is reached
	 */
	public boolean tryAcquireRun(HedgeCandidate candidate, long nowNanos) {
		return this.limit.tryAcquireRun(candidate.service(), candidate.organisation(), nowNanos);
	}

}
