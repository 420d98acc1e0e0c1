package org.burdocktray.process.limits;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/**
 * Decides whether a retry may start. A retry is charged to the budgets of this VM, of its
 * organisation and of each upstream that receives new work. Callers check beforehand
 * whether the request may be retried at all.
 *
 * Invariants: the budget of the VM limits the retries of all organisations and upstreams
 * together; a refused retry is not charged; no retry starts while a whole group fails.
 * Thread safety: safe from any thread; each organisation, upstream and group has its own
 * lock.
 */
public final class RetryBudgets {

	private final RetryBudget vmBudget;

	private final ConcurrentMap<String, RetryBudget> organisations = new ConcurrentHashMap<>();

	private final ConcurrentMap<String, RetryBudget> upstreams = new ConcurrentHashMap<>();

	private final ConcurrentMap<String, GroupHealth> groups = new ConcurrentHashMap<>();

	/**
	 * Creates the budgets. The budget of the VM starts empty, because many VMs may start
	 * during an outage.
	 * @param parameters the limits
	 * @param nowNanos the time
	 */
	public RetryBudgets(RetryBudgetParameters parameters, long nowNanos) {
		this.vmBudget = new RetryBudget(parameters, nowNanos);
		this.vmBudget.clear();
	}

	/**
	 * Records the first attempt of a request.
	 * @param organisation the name of the organisation
	 * @param upstreamNames the names of the upstreams that it is sent to
	 * @param parameters the current limits
	 * @param nowNanos the time
	 */
	public void recordFirstAttempt(String organisation, Collection<String> upstreamNames,
			RetryBudgetParameters parameters, long nowNanos) {
		this.vmBudget.recordFirstAttempt(parameters, nowNanos);
		budget(this.organisations, organisation, parameters, nowNanos).recordFirstAttempt(parameters, nowNanos);
		for (String upstream : upstreamNames) {
			budget(this.upstreams, upstream, parameters, nowNanos).recordFirstAttempt(parameters, nowNanos);
		}
	}

	/**
	 * Records the result of an attempt.
	 * @param group the group of upstreams, such as those of one model
	 * @param failed whether it failed because of an upstream
	 * @param nowNanos the time
	 */
	public void recordAttemptResult(String group, boolean failed, long nowNanos) {
		this.groups.computeIfAbsent(group, (name) -> new GroupHealth(nowNanos)).recordAttemptResult(failed, nowNanos);
	}

	/**
	 * Acquires a retry if all budgets allow it.
	 * @param organisation the name of the organisation
	 * @param group the group of upstreams
	 * @param newUpstreams the names of the upstreams that receive new work
	 * @param parameters the current limits
	 * @param nowNanos the time
	 * @return whether the retry may start
	 */
	public boolean tryAcquireRetry(String organisation, String group, Collection<String> newUpstreams,
			RetryBudgetParameters parameters, long nowNanos) {
		GroupHealth health = this.groups.get(group);
		if (health != null && health.isFailing(parameters, nowNanos)) {
			return false;
		}
		List<RetryBudget> needed = new ArrayList<>();
		needed.add(this.vmBudget);
		needed.add(budget(this.organisations, organisation, parameters, nowNanos));
		newUpstreams.forEach((upstream) -> needed.add(budget(this.upstreams, upstream, parameters, nowNanos)));
		for (int taken = 0; taken < needed.size(); taken++) {
			if (!needed.get(taken).tryAcquire(nowNanos)) {
				needed.subList(0, taken).forEach(RetryBudget::refund);
				return false;
			}
		}
		return true;
	}

	/**
	 * Removes the state of everything that is no longer in the bundle.
	 * @param organisationNames the names of the organisations in the bundle
	 * @param upstreamNames the names of the upstreams in the bundle
	 * @param groupNames the names of the groups in the bundle
	 */
	public void retain(Set<String> organisationNames, Set<String> upstreamNames, Set<String> groupNames) {
		this.organisations.keySet().retainAll(organisationNames);
		this.upstreams.keySet().retainAll(upstreamNames);
		this.groups.keySet().retainAll(groupNames);
	}

	private static RetryBudget budget(ConcurrentMap<String, RetryBudget> budgets, String name,
			RetryBudgetParameters parameters, long nowNanos) {
		return budgets.computeIfAbsent(name, (key) -> new RetryBudget(parameters, nowNanos));
	}

}
