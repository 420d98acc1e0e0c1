package org.burdocktray.process.restore;

import java.util.ArrayList;
import java.util.List;

import org.burdocktray.connection.platform.StoreRevision;
import org.burdocktray.process.freshness.RulesFreshness.Timestamp;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests what follows from the eras that answers of the store tell.
 */
class StoreErasTests {

	private long nowMillis = 10_000;

	private final StoreEras eras = new StoreEras(this::now);

	private final List<Long> learned = new ArrayList<>();

	@Test
	void revisionsAreOrderedByEraFirst() {
		assertThat(new StoreRevision(2, 3)).isGreaterThan(new StoreRevision(1, 900));
		assertThat(new StoreRevision(2, 3)).isLessThan(new StoreRevision(2, 4));
	}

	@Test
	void listenersLearnOfLaterErasAlone() {
		this.eras.addListener(() -> this.learned.add(this.eras.current()));
		assertThat(this.eras.record(1)).isTrue();
		assertThat(this.eras.record(3)).isTrue();
		assertThat(this.eras.record(3)).isTrue();
		assertThat(this.eras.record(2)).isFalse();
		assertThat(this.learned).containsExactly(3L);
	}

	/** Guards against keys that a copy of the store lists and that were taken away. */
	@Test
	void copyConfirmsNothingUntilItHasSettled() {
		this.eras.record(1);
		assertThat(this.eras.isSettledAt(now())).isTrue();
		this.eras.record(2);
		assertThat(this.eras.isSettledAt(now())).isFalse();
		this.nowMillis += StoreEras.SETTLE_MILLIS;
		assertThat(this.eras.isSettledAt(now())).isTrue();
	}

	/** A VM that starts can't know when the store has returned. */
	@Test
	void eraOfAVmThatStartsSettlesAsWell() {
		this.eras.record(4);
		assertThat(this.eras.hasReturned()).isTrue();
		assertThat(this.eras.isSettledAt(now())).isFalse();
	}

	/**
	 * Guards against VMs that refuse keys for longer than the return takes to settle,
	 * since they have learned of it from one that knew it before.
	 */
	@Test
	void eraOfAnotherVmSettlesFromWhenThatKnewIt() {
		this.eras.record(1);
		this.eras.record(2, 1_500);
		this.nowMillis += StoreEras.SETTLE_MILLIS - 1_500;
		assertThat(this.eras.isSettledAt(now())).isTrue();
		assertThat(this.eras.ageMillis()).isEqualTo(StoreEras.SETTLE_MILLIS);
	}

	@Test
	void messagesOfOlderBuildsCountAsOfTheFirstEra() {
		assertThat(this.eras.eraOfOlderBuilds()).isZero();
		this.eras.record(1);
		assertThat(this.eras.eraOfOlderBuilds()).isEqualTo(1);
		this.eras.record(2);
		assertThat(this.eras.eraOfOlderBuilds()).isEqualTo(1);
	}

	private Timestamp now() {
		return new Timestamp(this.nowMillis * 1_000_000, this.nowMillis);
	}

}
