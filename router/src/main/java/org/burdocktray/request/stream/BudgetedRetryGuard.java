package org.burdocktray.request.stream;

import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;

import org.burdocktray.model.RefusalReason;
import org.burdocktray.process.limits.RetryBudgetParameters;
import org.burdocktray.process.limits.RetryBudgets;

/**
 * Permits retries of one stream within the retry budgets of its organisation and of the
 * upstreams that the attempt would add. A retry after an attempt that delivered a token
 * is not charged: such retries are limited by the progress of the response, so they
 * cannot cause a retry storm. Thread safety: confined to one session; the budgets are
 * safe from any thread.
 */
public final class BudgetedRetryGuard implements RetryGuard {

	private final RetryBudgets budgets;

	private final RetryBudgetParameters parameters;

	private final String organisation;

	private final String model;

	private final LongSupplier nanoClock;

	/**
	 * Creates the guard of one stream.
	 * @param budgets the budgets of this VM
	 * @param parameters the limits from the bundle that the stream is pinned to
	 * @param organisation the name of the organisation
	 * @param model the name of the model
	 * @param nanoClock the clock, in nanoseconds
	 */
	public BudgetedRetryGuard(RetryBudgets budgets, RetryBudgetParameters parameters, String organisation, String model,
			LongSupplier nanoClock) {
		this.budgets = budgets;
		this.parameters = parameters;
		this.organisation = organisation;
		this.model = model;
		this.nanoClock = nanoClock;
	}

	@Override
	public Optional<RefusalReason> checkRetry(Set<String> newUpstreams, boolean afterProgress) {
		if (afterProgress) {
			return Optional.empty();
		}
		boolean allowed = this.budgets.tryAcquireRetry(this.organisation, this.model, newUpstreams, this.parameters,
				this.nanoClock.getAsLong());
		return (allowed) ? Optional.empty() : Optional.of(RefusalReason.UPSTREAM_FAILED);
	}

}
