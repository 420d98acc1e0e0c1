package org.burdocktray.process.claim;

import java.util.EnumMap;
import java.util.Map;
import java.util.function.BiFunction;

import org.jboss.logging.Logger;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that each key is executed at most once, in seeded runs with injected faults. Two
 * baselines, without claims and with leases only, show that the runs detect duplicate
 * executions.
 */
class ClaimFaultTests {

	private static final Logger LOGGER = Logger.getLogger(ClaimFaultTests.class);

	private static final int SEEDS = 1_000;

	private static final ClaimParameters PARAMETERS = new ClaimParameters(3, 50, 200, 100, 500, 500, 2_000,
			new ClaimRetention(100_000, 1_000, 3_600, 600, ClaimFaultRun.UNKNOWN_AFTER_SECONDS, 60));

	private static final Totals CLAIMS = Totals.of("claims", (run, vm) -> run.storeRegistry(vm, PARAMETERS));

	@Test
	void runsNoKeyTwice() {
		assertThat(CLAIMS.keysRunTwice).isZero();
		assertThat(CLAIMS.executions).isPositive();
	}

	@Test
	void refusesNoExecutedRequestAsNotRun() {
		assertThat(CLAIMS.untrueNotRun).isZero();
	}

	@Test
	void decidesEachClaimByItsDeadline() {
		assertThat(CLAIMS.late).isZero();
	}

	@Test
	void leavesNoClaimOpenOnRunningVm() {
		assertThat(CLAIMS.leakedClaims).isZero();
	}

	@Test
	void injectsEachFault() {
		assertThat(CLAIMS.faults).containsOnlyKeys(Fault.values())
			.allSatisfy((fault, count) -> assertThat(count).as(fault.name()).isGreaterThan(SEEDS / 10));
	}

	@Test
	void detectsDuplicateExecutionsWithoutClaims() {
		assertThat(Totals.of("no claims", (run, vm) -> new NaiveRegistry()).keysRunTwice).isPositive();
	}

	@Test
	void detectsDuplicateExecutionsWithLeasesOnly() {
		assertThat(Totals.of("leases only", ClaimFaultRun::leaseRegistry).keysRunTwice).isPositive();
	}

	private static final class Totals {

		private final Map<Fault, Integer> faults = new EnumMap<>(Fault.class);

		private int keysRunTwice;

		private int untrueNotRun;

		private int late;

		private int leakedClaims;

		private int executions;

		private int attempts;

		static Totals of(String name, BiFunction<ClaimFaultRun, FakeVm, ClaimRegistry> registryFactory) {
			Totals totals = new Totals();
			for (int seed = 0; seed < SEEDS; seed++) {
				totals.add(new ClaimFaultRun(seed, registryFactory).run());
			}
			LOGGER.infof("%s: seeds=%d requests=%d executions=%d keysRunTwice=%d untrueNotRun=%d late=%d leaked=%d %s",
					name, SEEDS, totals.attempts, totals.executions, totals.keysRunTwice, totals.untrueNotRun,
					totals.late, totals.leakedClaims, totals.faults);
			return totals;
		}

		private void add(ClaimFaultRun.Report report) {
			this.keysRunTwice += report.keysRunTwice();
			this.untrueNotRun += report.untrueNotRun();
			this.late += report.late();
			this.leakedClaims += report.leakedClaims();
			this.executions += report.executions();
			this.attempts += report.attempts();
			report.faults().forEach((fault, count) -> this.faults.merge(fault, count, Integer::sum));
		}

	}

}
