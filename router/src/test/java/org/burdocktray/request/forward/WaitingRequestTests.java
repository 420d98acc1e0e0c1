package org.burdocktray.request.forward;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class WaitingRequestTests {

	private static final long TARGET_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private static final int PATIENCE_MILLIS = 1_600;

	private static final int STEP_MILLIS = 10;

	@Test
	void lowerRankComesFirst() {
		assertOrder(request(0, false, 100), request(1, true, 0));
	}

	@Test
	void answerThatHasBegunComesBeforeNewRequests() {
		assertOrder(request(1, true, 900), request(1, false, 900));
	}

	@Test
	void requestThatCanStillBeOnTimeComesBeforeALateOne() {
		assertOrder(request(1, false, 700), request(1, false, 500));
	}

	@Test
	void olderRequestComesFirstAmongEquals() {
		assertOrder(request(1, false, 700), request(1, false, 800));
	}

	/**
	 * A burst of half as much again as there is room for, six seconds long: by age alone,
	 * nearly all are late until the burst is over and its rest is worked off.
	 */
	@Test
	void burstLeavesMoreRequestsOnTimeThanByAgeAlone() {
		int byAge = onTimeInBurst((now) -> Comparator.comparingLong(WaitingRequest::startNanos));
		int byTurn = onTimeInBurst(WaitingRequest::order);
		assertThat(byTurn).isGreaterThan(2 * byAge);
	}

	// Room for 30 requests a second; 45 a second come for six seconds, then 24.
	private static int onTimeInBurst(LongFunction<Comparator<WaitingRequest>> order) {
		Random random = new Random(5);
		List<WaitingRequest> waiting = new ArrayList<>();
		int onTime = 0;
		double room = 0;
		for (int nowMillis = 0; nowMillis < 12_000; nowMillis += STEP_MILLIS) {
			long nowNanos = TimeUnit.MILLISECONDS.toNanos(nowMillis);
			if (random.nextDouble() < ((nowMillis < 6_000) ? 0.45 : 0.24)) {
				waiting.add(new WaitingRequest(1, false, nowNanos, TARGET_NANOS));
			}
			waiting.removeIf(
					(request) -> nowNanos - request.startNanos() > TimeUnit.MILLISECONDS.toNanos(PATIENCE_MILLIS));
			waiting.sort(order.apply(nowNanos));
			room = Math.min(1, room + 0.3);
			if (room >= 1 && !waiting.isEmpty()) {
				room -= 1;
				onTime += (nowNanos - waiting.remove(0).startNanos() <= TARGET_NANOS) ? 1 : 0;
			}
		}
		return onTime;
	}

	private static void assertOrder(WaitingRequest first, WaitingRequest second) {
		List<WaitingRequest> requests = new ArrayList<>(List.of(second, first));
		requests.sort(WaitingRequest.order(TimeUnit.MILLISECONDS.toNanos(1_000)));
		assertThat(requests).containsExactly(first, second);
	}

	private static WaitingRequest request(int priority, boolean isBegun, long startMillis) {
		return new WaitingRequest(priority, isBegun, TimeUnit.MILLISECONDS.toNanos(startMillis), TARGET_NANOS);
	}

}
