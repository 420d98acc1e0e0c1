package org.burdocktray.process.limits;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/**
 * Decides whether a retry may start. It costs this VM's budget, its organisation's and
 * that of each upstream which gets new work by it. Whether a retry would be correct at
 * all, the callers decide before.
 *
 * Invariants: the budget of the VM bounds the retries of all organisations and upstreams
 * together; a retry that is refused costs nothing; there is none while a whole group
 * fails. Thread safety: safe from any thread; each organisation, upstream and group has
 * its own lock.
 */
public final class RetryBudgets {

	private final RetryBudget vmBudget;

	private final ConcurrentMap<String, RetryBudget> organisations = new ConcurrentHashMap<>();

	private final ConcurrentMap<String, RetryBudget> upstreams = new ConcurrentHashMap<>();

	private final ConcurrentMap<String, GroupHealth> groups = new ConcurrentHashMap<>();

	/**
	 * Creates the budgets. That of the VM starts empty, since many VMs may start during
	 * an outage.
	 * @param parameters the bounds
	 * @param nowNanos the time
	 */
	public RetryBudgets(RetryBudgetParameters parameters, long nowNanos) {
		this.vmBudget = new RetryBudget(parameters, nowNanos);
		this.vmBudget.clear();
	}

	/**
	 * Counts the first attempt of a request.
	 * @param organisation the name of the organisation
	 * @param upstreamNames the upstreams it goes to
	 * @param parameters the bounds in force
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
	 * Counts how an attempt ended.
	 * @param group the group of upstreams, such as those of one model
	 * @param failed whether upstreams failed it
	 * @param nowNanos the time
	 */
	public void recordAttemptResult(String group, boolean failed, long nowNanos) {
		this.groups.computeIfAbsent(group, (name) -> new GroupHealth(nowNanos)).recordAttemptResult(failed, nowNanos);
	}

	/**
	 * Asks for a retry.
	 * @param organisation the name of the organisation
	 * @param group the group of upstreams
	 * @param newUpstreams the upstreams that get new work by it
	 * @param parameters the bounds in force
	 * @param nowNanos the time
	 * @return whether it may start
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
	 * Forgets what the bundle no longer has.
	 * @param organisationNames the organisations it has
	 * @param upstreamNames the upstreams it has
	 * @param groupNames the groups it has
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
