package org.burdocktray.process.limits;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against processes that run out of memory because the bodies of their requests
 * have no common bound.
 */
class BodyMemoryTests {

	private static final long LARGE_BYTES = 100_000;

	private final BodyMemory memory = new BodyMemory(10 * LARGE_BYTES);

	@Test
	void refusesBodiesBeyondTheLimit() {
		for (int count = 0; count < 8; count++) {
			assertThat(this.memory.open().reserve(LARGE_BYTES)).isTrue();
		}
		assertThat(this.memory.open().reserve(LARGE_BYTES)).isFalse();
		assertThat(this.memory.heldBytes()).isEqualTo(8 * LARGE_BYTES);
	}

	@Test
	void largeBodiesLeaveRoomForSmallOnes() {
		for (int count = 0; count < 20; count++) {
			this.memory.open().reserve(LARGE_BYTES);
		}
		assertThat(this.memory.open().reserve(1_000)).isTrue();
	}

	@Test
	void bodyOfUnknownLengthGrowsUntilTheLimit() {
		BodyMemory.Reservation growing = this.memory.open();
		assertThat(growing.reserve(LARGE_BYTES)).isTrue();
		assertThat(growing.reserve(8 * LARGE_BYTES)).isTrue();
		assertThat(growing.reserve(9 * LARGE_BYTES)).isFalse();
		assertThat(this.memory.heldBytes()).isEqualTo(8 * LARGE_BYTES);
	}

	@Test
	void closedReservationReleasesItsMemoryOnce() {
		BodyMemory.Reservation reservation = this.memory.open();
		reservation.reserve(LARGE_BYTES);
		reservation.close();
		reservation.close();
		assertThat(this.memory.heldBytes()).isZero();
		assertThat(reservation.reserve(LARGE_BYTES)).isFalse();
		assertThat(this.memory.heldBytes()).isZero();
	}

}
