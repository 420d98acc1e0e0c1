package org.burdocktray.request.forward;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ResponseTimingTests {

	private final ResponseTiming timing = new ResponseTiming(100);

	@Test
	void requestWithoutEventsHasNoFirstEvent() {
		assertThat(this.timing.firstEventNanos()).isEmpty();
		assertThat(this.timing.longestPauseNanos()).isZero();
	}

	@Test
	void firstEventTimeIsMeasuredFromStart() {
		this.timing.recordEvents(150);
		this.timing.recordEvents(400);
		assertThat(this.timing.firstEventNanos()).hasValue(50);
	}

	@Test
	void longestPauseExcludesTimeToFirstEvent() {
		this.timing.recordEvents(500);
		this.timing.recordEvents(700);
		this.timing.recordEvents(710);
		assertThat(this.timing.longestPauseNanos()).isEqualTo(200);
	}

}
