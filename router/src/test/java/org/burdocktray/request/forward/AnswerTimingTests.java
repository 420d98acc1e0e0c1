package org.burdocktray.request.forward;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class AnswerTimingTests {

	private final AnswerTiming timing = new AnswerTiming(100);

	@Test
	void requestWithoutEventsHasNoFirstEvent() {
		assertThat(this.timing.firstEventNanos()).isEmpty();
		assertThat(this.timing.longestPauseNanos()).isZero();
	}

	@Test
	void firstEventCountsFromTheStart() {
		this.timing.events(150);
		this.timing.events(400);
		assertThat(this.timing.firstEventNanos()).hasValue(50);
	}

	@Test
	void longestPauseLiesBetweenEvents() {
		this.timing.events(500);
		this.timing.events(700);
		this.timing.events(710);
		assertThat(this.timing.longestPauseNanos()).isEqualTo(200);
	}

}
