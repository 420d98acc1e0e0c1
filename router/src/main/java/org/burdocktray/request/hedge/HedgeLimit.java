package org.burdocktray.request.hedge;

import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Limits the hedged runs of all VMs at a service. Each VM may start a share of the
 * requests that it has received itself, plus an equal part of the extra runs of the
 * fleet. Each organisation may start the same share of its own requests plus an equal
 * part of the extra runs, and one run in a window in any case. A process starts without
 * an allowance, so that restarts do not renew it. Invariants: within any window this VM
 * starts at most its part; within any second it starts at most the part of that second
 * plus one. Thread safety: none, confined to one event loop.
 */
final class HedgeLimit {

	private static final int MAX_SERVICES = 256;

	private static final int MAX_ORGANISATIONS = 256;

	private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final double requestShare;

	private final double fleetExtra;

	private final long windowNanos;

	private final Map<String, Service> services = new BoundedMap<>(MAX_SERVICES);

	/** 0 until it is known. */
	private int vmCount;

	HedgeLimit(double requestShare, double fleetExtra, long windowNanos) {
		this.requestShare = requestShare;
		this.fleetExtra = fleetExtra;
		this.windowNanos = windowNanos;
	}

	void setVmCount(int count) {
		this.vmCount = Math.max(1, count);
	}

	void recordRequest(String service, String organisation, long nowNanos) {
		Service counts = service(service, nowNanos);
		counts.total.requests.add(1, nowNanos);
		counts.second.requests.add(1, nowNanos);
		counts.organisation(organisation, this.windowNanos).requests.add(1, nowNanos);
	}

	boolean hasRun(String service, String organisation, long nowNanos) {
		Service counts = service(service, nowNanos);
		double extra = extraRuns(counts, nowNanos);
		double secondExtra = extra * SECOND_NANOS / Math.max(SECOND_NANOS, this.windowNanos);
		double organisationExtra = extra / Math.max(1, counts.activeOrganisations(nowNanos));
		return counts.total.hasRun(this.requestShare, extra, 0, nowNanos)
				&& counts.second.hasRun(this.requestShare, 1 + secondExtra, 0, nowNanos)
				&& counts.organisation(organisation, this.windowNanos)
					.hasRun(this.requestShare, organisationExtra, 1, nowNanos);
	}

	// A run that is not sent after all is not returned: its slot may have passed.
	boolean tryAcquireRun(String service, String organisation, long nowNanos) {
		if (!hasRun(service, organisation, nowNanos)) {
			return false;
		}
		Service counts = service(service, nowNanos);
		counts.total.runs.add(1, nowNanos);
		counts.second.runs.add(1, nowNanos);
		counts.organisation(organisation, this.windowNanos).runs.add(1, nowNanos);
		return true;
	}

	private double extraRuns(Service counts, long nowNanos) {
		if (this.vmCount == 0) {
			return 0;
		}
		double grown = Math.min(1, (nowNanos - counts.startNanos) / (double) this.windowNanos);
		return this.fleetExtra / this.vmCount * grown;
	}

	private Service service(String name, long nowNanos) {
		return this.services.computeIfAbsent(name, (added) -> new Service(this.windowNanos, nowNanos));
	}

	private static final class Service {

		private final long startNanos;

		private final Counts total;

		private final Counts second = new Counts(SECOND_NANOS);

		private final Map<String, Counts> organisations = new BoundedMap<>(MAX_ORGANISATIONS);

		Service(long windowNanos, long nowNanos) {
			this.startNanos = nowNanos;
			this.total = new Counts(windowNanos);
		}

		private Counts organisation(String name, long windowNanos) {
			return this.organisations.computeIfAbsent(name, (added) -> new Counts(windowNanos));
		}

		private long activeOrganisations(long nowNanos) {
			return this.organisations.values()
				.stream()
				.filter((counts) -> counts.requests.upperBound(nowNanos) > 0)
				.count();
		}

	}

	private static final class Counts {

		private final SlidingCount requests;

		private final SlidingCount runs;

		Counts(long windowNanos) {
			this.requests = new SlidingCount(windowNanos);
			this.runs = new SlidingCount(windowNanos);
		}

		private boolean hasRun(double requestShare, double extra, double minAllowed, long nowNanos) {
			double allowed = Math.max(minAllowed, requestShare * this.requests.lowerBound(nowNanos) + extra);
			return this.runs.upperBound(nowNanos) + 1 <= allowed;
		}

	}

}
