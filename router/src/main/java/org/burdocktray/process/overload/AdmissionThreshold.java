package org.burdocktray.process.overload;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.SortedMap;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;

import org.burdocktray.process.demand.DemandMeter;

/**
 * Decides how much of the demand for one service is admitted. It is fully open until the
 * fleet serves requests late and the estimate explains that by the demand. From then on
 * the limit follows the work that the fleet has been seen to begin while it was full, so
 * it converges also where the estimate is wrong. While requests are late, somewhat less
 * is admitted, so that queues become empty; while none are, the limit grows. VMs with
 * equal inputs come to equal limits. Invariant: the limit is at least {@link #MIN_LIMIT}
 * of the estimated capacity. Thread safety: none, confined to one event loop.
 */
public final class AdmissionThreshold {

	/** The part of the estimated capacity that is admitted in any case. */
	static final double MIN_LIMIT = 0.25;

	/** The share of late requests from which on too much is admitted. */
	private static final double LATE_SHARE = 0.1;

	/**
	 * The share of late requests that shows an overload also at a lower utilisation,
	 * since the estimate may be too high.
	 */
	private static final double CERTAIN_LATE_SHARE = 0.3;

	/** Fewer late requests a second in the whole fleet say nothing about its load. */
	private static final double MIN_LATE_PER_SECOND = 1;

	/**
	 * The utilisation from which on late requests are taken for a sign of overload. The
	 * estimate is an upper bound, so overload begins below 1.
	 */
	private static final double MIN_UTILISATION = 0.7;

	/** The same above {@link #CERTAIN_LATE_SHARE}. */
	private static final double CERTAIN_MIN_UTILISATION = 0.35;

	/**
	 * The part of the full rate that is held back per share of late requests, so that
	 * queues become empty.
	 */
	private static final double DRAIN_PER_LATE_SHARE = 1.2;

	private static final double MAX_DRAIN = 0.4;

	/** The part of the full rate that is admitted while few requests are late. */
	private static final double STEADY_FACTOR = 0.97;

	/** If less of what is admitted begins, the fleet can serve less than before. */
	private static final double MIN_BEGUN_SHARE = 0.9;

	private static final double MAX_IDLE_FACTOR = 1.5;

	/** How long a change of the demand takes to show for the most part. */
	private static final double DEMAND_LAG_SECONDS = 2;

	/** How fast more is admitted to find out whether the fleet can serve it. */
	private static final double GROWTH_PER_SECOND = 0.02;

	/** The growth after a stall, up to the rate that the fleet was seen to begin. */
	private static final double RECOVERY_PER_SECOND = 0.2;

	private static final double KNOWN_RATE_SHARE = 0.9;

	private static final double FEW_LATE_SHARE = 0.02;

	/** How long the highest rate counts; stalls are shorter. */
	private static final double HIGHEST_BEGUN_NANOS = TimeUnit.SECONDS.toNanos(30);

	/** The time constant with which the limit is smoothed. */
	private static final double FOLLOW_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private static final double TREND_NANOS = TimeUnit.SECONDS.toNanos(1);

	/** The part of the limit below which the demand must stay before it opens. */
	private static final double OPEN_UTILISATION = 0.95;

	private static final long OPEN_AFTER_NANOS = TimeUnit.SECONDS.toNanos(1);

	/** The time over which new outcomes are told from those of before. */
	private static final long RECENT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private static final double EASING_RATIO = 0.97;

	private static final double NANOS_PER_SECOND = 1e9;

	private final double minShare;

	private boolean closed;

	private double limit;

	/** What the fleet begins when it is full. */
	private double fullRate;

	/** The highest rate that has begun lately. */
	private double highestBegun;

	/** The highest rate that the fleet is known to have served. */
	private double knownRate;

	/** Whether too much was late at the last update while closed. */
	private boolean wasLate;

	private double demand;

	private double lateShare;

	/** The late share including what remains of earlier outcomes. */
	private double meanLateShare;

	/** Whether everything is admitted until the capacity is known again. */
	private boolean isSuspended;

	/** The rates at the last updates, the oldest first. */
	private final Deque<Sample> samples = new ArrayDeque<>();

	/** The demand of about the last second. */
	private double earlierDemand;

	private long updatedNanos;

	/** Since when the demand has been below the limit, while it is. */
	private long belowLimitSinceNanos;

	private boolean belowLimit;

	private AdmissionShares shares = AdmissionShares.all();

	/**
	 * Creates an open threshold.
	 * @param minShare the share of each priority that is admitted in any case
	 */
	public AdmissionThreshold(double minShare) {
		this.minShare = minShare;
	}

	/**
	 * Decides by the present load.
	 * @param loads the load of the fleet by priority; utilisations are parts of the
	 * estimated capacity
	 * @param isSettling whether the capacity has just changed, so that what is late or
	 * has begun belongs to another capacity
	 * @param nowNanos the current time of the monotonic clock
	 */
	public void update(SortedMap<Integer, PriorityLoad> loads, boolean isSettling, long nowNanos) {
		this.isSuspended = false;
		double begun = sum(loads, PriorityLoad::begun);
		double late = sum(loads, PriorityLoad::latePerSecond);
		double outcomes = late + sum(loads, PriorityLoad::onTimePerSecond);
		double elapsedNanos = Math.max(0, nowNanos - this.updatedNanos);
		this.demand = sum(loads, PriorityLoad::utilisation);
		this.earlierDemand += smoothing(elapsedNanos, TREND_NANOS) * (this.demand - this.earlierDemand);
		Rates rates = new Rates(begun, late, outcomes);
		Rates recent = recent(rates, isSettling, nowNanos);
		this.meanLateShare = rates.lateShare();
		this.lateShare = this.closed ? recent.lateShare() : this.meanLateShare;
		boolean isLate = !isSettling && this.lateShare > LATE_SHARE && late >= MIN_LATE_PER_SECOND;
		this.highestBegun = Math.max(isSettling ? 0 : begun,
				this.highestBegun * (1 - smoothing(elapsedNanos, HIGHEST_BEGUN_NANOS)));
		if (this.closed) {
			if (isSettling) {
				this.fullRate = Math.max(this.fullRate, this.knownRate);
			}
			else {
				follow(begun, isLate, elapsedNanos);
			}
			this.wasLate = isLate;
			moveLimit(isLate, elapsedNanos);
			openIfDemandIsLow(isLate, nowNanos);
		}
		else if (isLate && isOverloadLikely()) {
			this.closed = true;
			this.belowLimit = false;
			// The mean of the rate at which a full fleet begins requests lags behind.
			double highest = Math.max(this.highestBegun, Math.min(1, recent.begun()));
			this.knownRate = (highest > 0) ? highest : 1;
			this.fullRate = Math.max(MIN_LIMIT, this.knownRate);
			this.wasLate = true;
			this.limit = Math.max(MIN_LIMIT, drainFactor() * this.fullRate);
		}
		this.updatedNanos = nowNanos;
		double admitted = isLate ? this.limit : this.limit * idleFactor(begun);
		this.shares = this.closed ? AdmissionShares.of(loads, admitted, this.minShare) : AdmissionShares.all();
	}

	// The rates are means that decay. What remains of earlier ones says nothing of queues
	// that have become empty since then.
	private Rates recent(Rates current, boolean isSettling, long nowNanos) {
		if (isSettling) {
			this.samples.clear();
		}
		this.samples.addLast(new Sample(nowNanos, current));
		while (this.samples.size() > 2 && nowNanos - List.copyOf(this.samples).get(1).nanos() >= RECENT_NANOS) {
			this.samples.removeFirst();
		}
		Sample earlier = this.samples.getFirst();
		if (this.samples.size() == 1) {
			return current;
		}
		return current.since(earlier.rates(),
				1 - smoothing(nowNanos - earlier.nanos(), DemandMeter.OUTCOME_WINDOW_NANOS));
	}

	private boolean isOverloadLikely() {
		return this.demand >= MIN_UTILISATION
				|| (this.lateShare > CERTAIN_LATE_SHARE && this.demand >= CERTAIN_MIN_UTILISATION);
	}

	private void follow(double begun, boolean isLate, double elapsedNanos) {
		if (isLate) {
			if (!this.wasLate) {
				this.knownRate = this.fullRate;
			}
			// Once queues are empty, no more begins than is admitted, and the fleet is
			// not full. Late requests are still reported for some seconds.
			boolean isFull = begun > this.limit || begun < MIN_BEGUN_SHARE * this.limit;
			this.fullRate += isFull ? smoothing(elapsedNanos, TREND_NANOS) * (begun - this.fullRate) : 0;
		}
		else {
			this.fullRate *= 1 + growthPerSecond() * elapsedNanos / NANOS_PER_SECOND;
			this.fullRate += smoothing(elapsedNanos, TREND_NANOS) * Math.max(0, begun - this.fullRate);
		}
		this.fullRate = Math.max(MIN_LIMIT, this.fullRate);
	}

	private void moveLimit(boolean isLate, double elapsedNanos) {
		double target = (isLate ? drainFactor() : STEADY_FACTOR) * this.fullRate;
		this.limit = Math.max(MIN_LIMIT, this.limit + smoothing(elapsedNanos, FOLLOW_NANOS) * (target - this.limit));
	}

	// A rate that the fleet has served before needs no slow search. Growth from there on
	// is slow, since late requests show only after seconds.
	private double growthPerSecond() {
		boolean isBelowKnownRate = this.fullRate < KNOWN_RATE_SHARE * this.knownRate;
		boolean isRejecting = this.demand > this.limit;
		return (isBelowKnownRate && isRejecting && this.meanLateShare <= FEW_LATE_SHARE) ? RECOVERY_PER_SECOND
				: GROWTH_PER_SECOND;
	}

	// The demand is a mean of some seconds. While it falls, the same shares admit less
	// than the limit.
	private double idleFactor(double begun) {
		double expectedDemand = this.demand - DEMAND_LAG_SECONDS * Math.max(0, this.earlierDemand - this.demand);
		double byTrend = isEasing() ? this.demand / Math.max(MIN_LIMIT, expectedDemand) : 1;
		double byBegun = this.limit / Math.max(MIN_LIMIT, begun);
		return Math.max(1, Math.min(MAX_IDLE_FACTOR, Math.max(byTrend, byBegun)));
	}

	private double drainFactor() {
		return 1 - Math.min(MAX_DRAIN, DRAIN_PER_LATE_SHARE * this.lateShare);
	}

	private void openIfDemandIsLow(boolean isLate, long nowNanos) {
		if (isLate || this.demand > OPEN_UTILISATION * this.limit) {
			this.belowLimit = false;
			return;
		}
		if (!this.belowLimit) {
			this.belowLimit = true;
			this.belowLimitSinceNanos = nowNanos;
		}
		if (nowNanos - this.belowLimitSinceNanos >= OPEN_AFTER_NANOS) {
			this.closed = false;
		}
	}

	// Returns the part of a change that exponential smoothing takes in within some time.
	private static double smoothing(double elapsedNanos, double smoothingNanos) {
		return 1 - Math.exp(-elapsedNanos / smoothingNanos);
	}

	private static double sum(SortedMap<Integer, PriorityLoad> loads, ToDoubleFunction<PriorityLoad> value) {
		return loads.values().stream().mapToDouble(value).sum();
	}

	/**
	 * Admits everything until the next update, because the capacity is not known. The
	 * limit is kept, since an overload may last longer than a loss of all engines.
	 */
	public void suspend() {
		this.isSuspended = true;
		this.demand = 0;
		this.lateShare = 0;
		this.shares = AdmissionShares.all();
	}

	/**
	 * Returns whether requests are rejected or may be.
	 * @return false while everything is admitted
	 */
	public boolean isClosed() {
		return this.closed && !this.isSuspended;
	}

	/**
	 * Returns whether the demand is falling.
	 * @return true if it is clearly lower than that of the last second
	 */
	public boolean isEasing() {
		return this.demand < EASING_RATIO * this.earlierDemand;
	}

	public AdmissionShares shares() {
		return this.shares;
	}

	/**
	 * Returns what is admitted at most.
	 * @return a part of the estimated capacity; infinite while the threshold is open
	 */
	public double limit() {
		return isClosed() ? this.limit : Double.POSITIVE_INFINITY;
	}

	/**
	 * Returns the demand of the fleet.
	 * @return a part of the estimated capacity
	 */
	public double demand() {
		return this.demand;
	}

	/**
	 * Returns the share of admitted requests that the fleet serves late.
	 * @return 0 to 1
	 */
	public double lateShare() {
		return this.lateShare;
	}

	private record Sample(long nanos, Rates rates) {

	}

	/**
	 * The rates of the whole fleet as decaying means.
	 *
	 * @param begun the requests that begin, as a part of the estimated capacity
	 * @param late the late requests a second
	 * @param outcomes all requests with an outcome a second
	 */
	private record Rates(double begun, double late, double outcomes) {

		private Rates since(Rates earlier, double decay) {
			return new Rates(since(this.begun, earlier.begun, decay), since(this.late, earlier.late, decay),
					since(this.outcomes, earlier.outcomes, decay));
		}

		private static double since(double mean, double earlierMean, double decay) {
			return (decay < 1) ? Math.max(0, (mean - decay * earlierMean) / (1 - decay)) : mean;
		}

		private double lateShare() {
			return (this.outcomes > 0) ? Math.min(1, this.late / this.outcomes) : 0;
		}

	}

}
