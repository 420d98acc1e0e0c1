package org.burdocktray.request.stream;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.burdocktray.connection.engine.EngineEvent;
import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.model.RefusalReason;
import org.burdocktray.process.limits.RetryBudgetParameters;
import org.burdocktray.process.limits.RetryBudgets;
import org.burdocktray.request.route.PipelineRoute;
import org.burdocktray.request.route.RouteQuery;
import org.burdocktray.version.bundle.Engine;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class BudgetedRetryGuardTests {

	private static final RetryBudgetParameters PARAMETERS = new RetryBudgetParameters(0.5, 0, 5, 0.9, 10);

	private final RetryBudgets budgets = new RetryBudgets(PARAMETERS, 0);

	@Test
	void allowsRetryWithinBudget() {
		this.budgets.recordFirstAttempt("a", List.of("u"), PARAMETERS, 0);
		this.budgets.recordFirstAttempt("a", List.of("u"), PARAMETERS, 0);
		assertThat(guard().checkRetry(Set.of("u"), false)).isEmpty();
	}

	@Test
	void allowsRetryAfterProgressWithoutBudget() {
		assertThat(guard().checkRetry(Set.of("u"), true)).isEmpty();
	}

	@Test
	void refusesRetryWhenBudgetIsExhausted() {
		assertThat(guard().checkRetry(Set.of("u"), false)).contains(RefusalReason.UPSTREAM_FAILED);
	}

	@Test
	void sessionChecksOnlyUpstreamsThatAttemptAdds() {
		List<Set<String>> checkedUpstreams = new ArrayList<>();
		StreamSession session = new StreamSession(
				new StreamRequest("s", "model", "1", 0, "prompt", 8, 0, new DataCentre("ghent"), Long.MAX_VALUE),
				BudgetedRetryGuardTests::plan, (newUpstreams, afterProgress) -> {
					checkedUpstreams.add(newUpstreams);
					return Optional.empty();
				}, new StreamTimeouts(Long.MAX_VALUE, 3, 5));
		session.start(0);
		session.onEvent(new EngineEvent.Refused(1, 429, OptionalLong.empty()), 0);
		assertThat(checkedUpstreams).containsExactly(Set.of("head-2"));
	}

	private BudgetedRetryGuard guard() {
		return new BudgetedRetryGuard(this.budgets, PARAMETERS, "a", "model", () -> 0);
	}

	private static Optional<PipelineRoute> plan(RouteQuery query) {
		String head = (query.keptStages().isEmpty()) ? "head-1" : "head-2";
		return Optional.of(new PipelineRoute("model", List.of(engine(head, 0), engine("tail", 1))));
	}

	private static Engine engine(String name, int layer) {
		return new Engine(name, new DataCentre("ghent"), new NetworkAddress("127.0.0.1", 1), "model", layer, layer + 1,
				"kind", 100, 8, List.of(), true);
	}

}
