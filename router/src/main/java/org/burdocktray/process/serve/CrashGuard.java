package org.burdocktray.process.serve;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.burdocktray.model.Refusal;
import org.burdocktray.model.RefusalReason;
import org.burdocktray.model.Verdict;
import org.burdocktray.process.quarantine.Quarantine;
import org.burdocktray.process.quarantine.QuarantineDecision;
import org.burdocktray.process.quarantine.RequestIdentity;
import org.burdocktray.process.quarantine.RunOutcome;
import org.burdocktray.request.route.PipelineRoute;
import org.burdocktray.request.route.RouteQuery;
import org.burdocktray.request.stream.RetryGuard;
import org.burdocktray.request.stream.RoutePlanner;
import org.burdocktray.version.bundle.Engine;

/**
 * Applies the quarantine to one request. A suspect request is routed over upstreams that
 * run no other suspect, as long as a complete route remains. Otherwise it still runs,
 * because most suspects only shared an upstream with the request that crashed it.
 * Invariant: at most one run of the request is registered at a time. Thread safety:
 * confined to the event loop of the request.
 */
final class CrashGuard implements RetryGuard {

	/** The time between tokens after which no part of the prompt crashes upstreams. */
	private static final long BEGUN_WELL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private final Quarantine quarantine;

	private final RequestIdentity request;

	private final RetryGuard budget;

	private final Runnable propagateChanges;

	private Optional<String> runId = Optional.empty();

	/** When the first token of the present run came. */
	private OptionalLong firstTokenNanos = OptionalLong.empty();

	private boolean begunWell;

	/**
	 * Creates a guard.
	 * @param quarantine the quarantine of this VM
	 * @param request identifies the request and the parts of its prompt
	 * @param budget limits the retries that the quarantine permits
	 * @param propagateChanges sends quarantine changes to the other VMs immediately
	 */
	CrashGuard(Quarantine quarantine, RequestIdentity request, RetryGuard budget, Runnable propagateChanges) {
		this.quarantine = quarantine;
		this.request = request;
		this.budget = budget;
		this.propagateChanges = propagateChanges;
	}

	/**
	 * Checks whether the request may start.
	 * @return the refusal when the request must not run, otherwise empty
	 */
	Optional<Refusal> checkStart() {
		QuarantineDecision decision = checkQuarantine();
		if (decision instanceof QuarantineDecision.Refuse refuse) {
			return Optional.of(quarantineRefusal((refuse.culprit() == QuarantineDecision.Culprit.PROMPT_PART)
					? "A part of the prompt crashed upstreams and is quarantined"
					: "The request crashed upstreams and is quarantined", refuse.untilNanos()));
		}
		if (decision instanceof QuarantineDecision.Wait wait) {
			return Optional
				.of(quarantineRefusal("The request may have crashed an upstream and another run of it is in progress",
						wait.untilNanos()));
		}
		return Optional.empty();
	}

	/**
	 * Plans a route, if possible one that avoids upstreams that run other suspects.
	 * @param query the requirements on the route
	 * @param planner chooses the route
	 * @return the route, empty when no complete route exists
	 */
	Optional<PipelineRoute> plan(RouteQuery query, RoutePlanner planner) {
		if (!(checkQuarantine() instanceof QuarantineDecision.RunAlone alone) || alone.excludedUpstreams().isEmpty()) {
			return planner.plan(query);
		}
		Set<String> excluded = new HashSet<>(query.excludedUpstreams());
		excluded.addAll(alone.excludedUpstreams());
		List<Engine> kept = query.keptStages().stream().filter((stage) -> !excluded.contains(stage.name())).toList();
		RouteQuery isolated = new RouteQuery(query.model(), query.localDataCentre(), query.prefixFingerprint(),
				excluded, kept);
		return planner.plan(isolated).or(() -> planner.plan(query));
	}

	@Override
	public Optional<RefusalReason> checkRetry(Set<String> newUpstreams, boolean afterProgress) {
		if (checkQuarantine() instanceof QuarantineDecision.Refuse) {
			return Optional.of(RefusalReason.QUARANTINED);
		}
		return this.budget.checkRetry(newUpstreams, afterProgress);
	}

	void startRun(List<Engine> stages) {
		endRun(RunOutcome.ENDED);
		Set<String> upstreams = new HashSet<>();
		stages.forEach((stage) -> upstreams.add(stage.name()));
		this.firstTokenNanos = OptionalLong.empty();
		this.begunWell = false;
		this.runId = Optional.of(this.quarantine.recordStart(this.request, upstreams, System.nanoTime()));
	}

	@Override
	public void onUpstreamFailed(String upstreamName, boolean crashed) {
		if (!crashed) {
			return;
		}
		this.quarantine.recordCrash(upstreamName, System.nanoTime());
		this.propagateChanges.run();
	}

	/**
	 * Records a token of the response.
	 * @param nowNanos the monotonic time
	 */
	void recordToken(long nowNanos) {
		if (this.firstTokenNanos.isEmpty()) {
			this.firstTokenNanos = OptionalLong.of(nowNanos);
			return;
		}
		if (!this.begunWell && nowNanos - this.firstTokenNanos.getAsLong() >= BEGUN_WELL_NANOS) {
			this.begunWell = true;
			this.runId.ifPresent((id) -> this.quarantine.recordBegunWell(id, nowNanos));
		}
	}

	void endRun(RunOutcome outcome) {
		this.runId.ifPresent((id) -> this.quarantine.recordEnd(id, outcome, System.nanoTime()));
		this.runId = Optional.empty();
	}

	private QuarantineDecision checkQuarantine() {
		return this.quarantine.check(this.request, System.nanoTime());
	}

	private static Refusal quarantineRefusal(String detail, long untilNanos) {
		long retryAfterMillis = Math.max(1, TimeUnit.NANOSECONDS.toMillis(untilNanos - System.nanoTime()));
		return new Refusal(Verdict.NOT_RUN, RefusalReason.QUARANTINED, detail, OptionalLong.of(retryAfterMillis));
	}

}
