package org.burdocktray.process.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class OutlierEjectionTests {

	private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final OutlierEjection ejection = new OutlierEjection(EjectionSettings.defaults());

	private long now = 5 * SECOND_NANOS;

	@BeforeEach
	void addUpstreams() {
		for (String name : List.of("a", "b", "c", "d")) {
			this.ejection.add(name, "group", this.now);
		}
		this.ejection.add("alone", "other", this.now);
	}

	@Test
	void ejectsAfterConsecutiveFailures() {
		assertThat(fail("a", 2)).isEmpty();
		assertThat(fail("a", 1)).contains(new EjectionAction.Eject("a", 2 * SECOND_NANOS));
	}

	@Test
	void successResetsConsecutiveFailures() {
		fail("a", 2);
		this.ejection.recordSuccess("a", this.now);
		assertThat(fail("a", 2)).isEmpty();
	}

	@Test
	void ejectsAtHighFailureRate() {
		Optional<EjectionAction> last = Optional.empty();
		for (int i = 0; i < 5; i++) {
			this.ejection.recordSuccess("a", this.now);
			last = fail("a", 1);
		}
		assertThat(last).contains(new EjectionAction.Eject("a", 2 * SECOND_NANOS));
	}

	@Test
	void failuresOfAnEarlierWindowDoNotCountTowardsTheRate() {
		for (int i = 0; i < 4; i++) {
			this.ejection.recordSuccess("a", this.now);
			fail("a", 1);
		}
		this.now += 10 * SECOND_NANOS;
		this.ejection.recordSuccess("a", this.now);
		assertThat(fail("a", 1)).isEmpty();
	}

	@Test
	void probesOnceWhenEjectionEndsAndRestoresOnSuccess() {
		fail("a", 3);
		this.now += 2 * SECOND_NANOS - 1;
		assertThat(this.ejection.tick(this.now)).isEmpty();
		this.now++;
		assertThat(this.ejection.tick(this.now)).containsExactly(new EjectionAction.Probe("a"));
		assertThat(this.ejection.tick(this.now)).isEmpty();
		assertThat(this.ejection.recordSuccess("a", this.now)).contains(new EjectionAction.Restore("a"));
	}

	@Test
	void failedProbeEjectsForTwiceAsLong() {
		fail("a", 3);
		this.now += 2 * SECOND_NANOS;
		this.ejection.tick(this.now);
		assertThat(fail("a", 1)).contains(new EjectionAction.Eject("a", 4 * SECOND_NANOS));
	}

	@Test
	void ejectionNeverGrowsBeyondItsLimit() {
		fail("a", 3);
		Optional<EjectionAction> last = Optional.empty();
		for (int i = 0; i < 70; i++) {
			this.now += 60 * SECOND_NANOS;
			this.ejection.tick(this.now);
			last = fail("a", 1);
		}
		assertThat(last).contains(new EjectionAction.Eject("a", 60 * SECOND_NANOS));
	}

	@Test
	void unansweredProbeIsSentAgain() {
		fail("a", 3);
		this.now += 2 * SECOND_NANOS;
		this.ejection.tick(this.now);
		this.now += 2 * SECOND_NANOS;
		assertThat(this.ejection.tick(this.now)).containsExactly(new EjectionAction.Probe("a"));
	}

	@Test
	void resultsDuringEjectionHaveNoEffect() {
		fail("a", 3);
		assertThat(fail("a", 1)).isEmpty();
		assertThat(this.ejection.recordSuccess("a", this.now)).isEmpty();
	}

	@Test
	void longHealthyPeriodResetsEjectionDuration() {
		fail("a", 3);
		this.now += 2 * SECOND_NANOS;
		this.ejection.tick(this.now);
		this.ejection.recordSuccess("a", this.now);
		this.now += 300 * SECOND_NANOS;
		this.ejection.recordSuccess("a", this.now);
		assertThat(fail("a", 3)).contains(new EjectionAction.Eject("a", 2 * SECOND_NANOS));
	}

	@Test
	void neverEjectsTheOnlyUpstreamOfAGroup() {
		assertThat(fail("alone", 100)).isEmpty();
	}

	@Test
	void removingEjectedUpstreamsAllowsAnotherEjection() {
		fail("a", 3);
		fail("b", 3);
		assertThat(fail("c", 3)).isEmpty();
		this.ejection.remove("a");
		this.ejection.remove("b");
		assertThat(fail("c", 1)).contains(new EjectionAction.Eject("c", 2 * SECOND_NANOS));
	}

	@Test
	void neverEjectsMoreThanAllowedFractionUnderRandomFailures() {
		SplittableRandom random = new SplittableRandom(7);
		List<String> ejected = new ArrayList<>();
		for (int i = 0; i < 20_000; i++) {
			this.now += random.nextLong(SECOND_NANOS);
			String name = List.of("a", "b", "c", "d").get(random.nextInt(4));
			this.ejection.tick(this.now);
			Optional<EjectionAction> action = (random.nextInt(4) > 0) ? fail(name, 1)
					: this.ejection.recordSuccess(name, this.now);
			action.ifPresent((result) -> {
				ejected.remove(result.upstreamName());
				if (result instanceof EjectionAction.Eject) {
					ejected.add(result.upstreamName());
				}
			});
			assertThat(ejected).hasSizeLessThanOrEqualTo(2);
		}
	}

	private Optional<EjectionAction> fail(String upstreamName, int times) {
		Optional<EjectionAction> last = Optional.empty();
		for (int i = 0; i < times; i++) {
			last = this.ejection.recordFailure(upstreamName, this.now);
		}
		return last;
	}

}
