package org.burdocktray.process.serve.gateway;

import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class CarriedRequestsTests {

	private final CarriedRequests carried = new CarriedRequests();

	@Test
	void knowsTheLastRequests() {
		assertThat(this.carried.add("r1")).isTrue();
		assertThat(this.carried.add("r2")).isTrue();
		assertThat(this.carried.add("r1")).isFalse();
	}

	@Test
	void forgetsRequestsThatAreLongAgo() {
		IntStream.range(0, 1_000).forEach((number) -> assertThat(this.carried.add("r" + number)).isTrue());
		assertThat(this.carried.add("r0")).isTrue();
		assertThat(this.carried.add("r999")).isFalse();
	}

	@Test
	void longIdsAreKeptInPart() {
		assertThat(this.carried.add("x".repeat(60_000) + "1")).isTrue();
		assertThat(this.carried.add("x".repeat(60_000) + "2")).isFalse();
	}

}
