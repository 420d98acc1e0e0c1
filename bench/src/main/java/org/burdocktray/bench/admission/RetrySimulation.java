package org.burdocktray.bench.admission;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

import org.burdocktray.process.limits.RetryBudgetParameters;
import org.burdocktray.process.limits.RetryBudgets;

/**
 * Simulates requests to upstreams some of which fail every attempt. Failing upstreams are
 * not ejected, so that only the retry policy affects the result. Each attempt goes to a
 * random upstream that the request has not tried before. Invariant: the same arguments
 * give the same result. Thread safety: confined to one thread.
 */
final class RetrySimulation {

	private static final int BLIND_RETRIES = 3;

	private static final int MAX_ATTEMPTS = 8;

	private static final double BUDGET_RATIO = 0.1;

	private static final long NANOS_PER_SECOND = 1_000_000_000;

	private static final String GROUP = "model";

	private final FleetSize size;

	private final RetryBudgetParameters parameters;

	private final int failingUpstreams;

	private final int seconds;

	private final long seed;

	RetrySimulation(FleetSize size, double failingShare, int seconds, long seed) {
		this.size = size;
		this.parameters = RetryBudgetParameters.of(BUDGET_RATIO, 1.0 / size.vms());
		this.failingUpstreams = (int) Math.round(size.upstreams() * failingShare);
		this.seconds = seconds;
		this.seed = seed;
	}

	Result runWithBlindRetries() {
		return run((vm, organisation, nextUpstream, attempts, nowNanos) -> attempts <= BLIND_RETRIES, List.of());
	}

	Result runWithBudgets() {
		List<RetryBudgets> budgets = new ArrayList<>();
		for (int vm = 0; vm < this.size.vms(); vm++) {
			budgets.add(new RetryBudgets(this.parameters, 0));
		}
		return run(
				(vm, organisation, nextUpstream, attempts,
						nowNanos) -> attempts < MAX_ATTEMPTS && budgets.get(vm)
							.tryAcquireRetry(organisation, GROUP, List.of(nextUpstream), this.parameters, nowNanos),
				budgets);
	}

	private Result run(RetryPolicy policy, List<RetryBudgets> budgets) {
		SplittableRandom random = new SplittableRandom(this.seed);
		int requests = this.seconds * this.size.requestsPerSecond();
		long attempts = 0;
		long served = 0;
		for (int request = 0; request < requests; request++) {
			long nowNanos = request * (NANOS_PER_SECOND / this.size.requestsPerSecond());
			int vm = random.nextInt(this.size.vms());
			String organisation = "organisation-" + random.nextInt(this.size.organisations());
			Set<Integer> tried = new HashSet<>();
			int upstream = chooseUntried(tried, random);
			if (!budgets.isEmpty()) {
				budgets.get(vm).recordFirstAttempt(organisation, List.of(nameOf(upstream)), this.parameters, nowNanos);
			}
			boolean retry = true;
			while (retry) {
				attempts++;
				boolean failed = upstream < this.failingUpstreams;
				if (!budgets.isEmpty()) {
					budgets.get(vm).recordAttemptResult(GROUP, failed, nowNanos);
				}
				served += (failed) ? 0 : 1;
				int attemptsMade = tried.size();
				upstream = chooseUntried(tried, random);
				retry = failed && policy.allows(vm, organisation, nameOf(upstream), attemptsMade, nowNanos);
			}
		}
		return new Result(attempts / (double) requests, served / (double) requests);
	}

	private int chooseUntried(Set<Integer> tried, SplittableRandom random) {
		int upstream = random.nextInt(this.size.upstreams());
		while (!tried.add(upstream)) {
			upstream = random.nextInt(this.size.upstreams());
		}
		return upstream;
	}

	private static String nameOf(int upstream) {
		return "upstream-" + upstream;
	}

	/** Decides whether a failed request is retried. */
	@FunctionalInterface
	private interface RetryPolicy {

		boolean allows(int vm, String organisation, String nextUpstream, int attempts, long nowNanos);

	}

	/**
	 * The size of a fleet. Thread safety: immutable.
	 *
	 * @param vms the number of entry VMs
	 * @param upstreams the number of upstreams
	 * @param organisations the number of organisations
	 * @param requestsPerSecond the request rate of all organisations together
	 */
	record FleetSize(int vms, int upstreams, int organisations, int requestsPerSecond) {

	}

	/**
	 * The result of a run. Thread safety: immutable.
	 *
	 * @param attemptsPerRequest the attempts divided by the requests
	 * @param servedShare the proportion of requests that succeeded
	 */
	record Result(double attemptsPerRequest, double servedShare) {

	}

}
