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

	private static final int CALLER_TIMEOUT_MILLIS = 1_600;

	private static final int STEP_MILLIS = 10;

	@Test
	void lowerPriorityValueComesFirst() {
		assertOrder(request(0, false, 100), request(1, true, 0));
	}

	@Test
	void startedResponseComesBeforeNewRequest() {
		assertOrder(request(1, true, 900), request(1, false, 900));
	}

	@Test
	void requestThatCanMeetTargetComesBeforeLateRequest() {
		assertOrder(request(1, false, 700), request(1, false, 500));
	}

	@Test
	void olderRequestComesFirstOtherwise() {
		assertOrder(request(1, false, 700), request(1, false, 800));
	}

	/**
	 * Guards against a burst making every request late. Demand is 1.5 times the capacity
	 * for six seconds. Ordered by age alone, nearly all requests are late until the burst
	 * is over and its backlog is served.
	 */
	@Test
	void orderServesMoreRequestsOnTimeInBurstThanOrderByAge() {
		int byAge = countOnTimeInBurst((now) -> Comparator.comparingLong(WaitingRequest::startNanos));
		int byOrder = countOnTimeInBurst(WaitingRequest::order);
		assertThat(byOrder).isGreaterThan(2 * byAge);
	}

	// The capacity is 30 requests per second; 45 per second arrive for six seconds, then
	// 24.
	private static int countOnTimeInBurst(LongFunction<Comparator<WaitingRequest>> order) {
		Random random = new Random(5);
		List<WaitingRequest> waiting = new ArrayList<>();
		int onTime = 0;
		double freeSlots = 0;
		for (int nowMillis = 0; nowMillis < 12_000; nowMillis += STEP_MILLIS) {
			long nowNanos = TimeUnit.MILLISECONDS.toNanos(nowMillis);
			if (random.nextDouble() < ((nowMillis < 6_000) ? 0.45 : 0.24)) {
				waiting.add(new WaitingRequest(1, false, nowNanos, TARGET_NANOS));
			}
			waiting.removeIf((
					request) -> nowNanos - request.startNanos() > TimeUnit.MILLISECONDS.toNanos(CALLER_TIMEOUT_MILLIS));
			waiting.sort(order.apply(nowNanos));
			freeSlots = Math.min(1, freeSlots + 0.3);
			if (freeSlots >= 1 && !waiting.isEmpty()) {
				freeSlots -= 1;
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

	private static WaitingRequest request(int priority, boolean isResponseStarted, long startMillis) {
		return new WaitingRequest(priority, isResponseStarted, TimeUnit.MILLISECONDS.toNanos(startMillis),
				TARGET_NANOS);
	}

}
