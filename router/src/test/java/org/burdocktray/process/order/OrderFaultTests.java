package org.burdocktray.process.order;

import java.util.EnumMap;
import java.util.Map;
import java.util.stream.LongStream;

import org.jboss.logging.Logger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests orders under seeded schedules of pauses, restarts, outages, lost and delayed
 * writes and delayed orders.
 */
class OrderFaultTests {

	private static final Logger LOGGER = Logger.getLogger(OrderFaultTests.class);

	private static final long SCHEDULES = 400;

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void ordersOfAFormerHolderTakeEffectWithoutTheDeadlineCheckWhereFencingIsIgnored(boolean margin) {
		OrderSettings settings = (margin) ? OrderFaultSimulation.WITH_MARGIN : OrderFaultSimulation.NO_MARGIN;
		Map<OrderFinding, Long> counts = run(settings, false, false);
		assertThat(counts).containsKey(OrderFinding.LATE);
		assertThat(counts).doesNotContainKey(OrderFinding.OLDER_AFTER_NEWER_CHECKED);
	}

	@Test
	void noOrderOfAFormerHolderTakesEffectWhenCheckedSentAndDeliveredInTime() {
		Map<OrderFinding, Long> counts = run(OrderFaultSimulation.WITH_MARGIN, true, false);
		assertThat(counts).doesNotContainKey(OrderFinding.LATE);
		assertThat(counts).doesNotContainKey(OrderFinding.OLDER_AFTER_NEWER_CHECKED);
		assertThat(counts).doesNotContainKey(OrderFinding.OLDER_AFTER_NEWER_IGNORED);
		assertThat(counts).doesNotContainKey(OrderFinding.UNCONVERGED);
		assertThat(counts).containsKey(OrderFinding.NOT_SENT);
		assertThat(counts.get(OrderFinding.TAKEOVER)).as("%s", counts).isGreaterThan(SCHEDULES);
	}

	@Test
	void enginesConvergeAfterLatePacketsAndPausesAfterTheCheck() {
		Map<OrderFinding, Long> counts = run(OrderFaultSimulation.WITH_MARGIN, true, true);
		assertThat(counts).doesNotContainKey(OrderFinding.LATE);
		assertThat(counts).containsKey(OrderFinding.LATE_UNPROVABLE);
		assertThat(counts).containsKey(OrderFinding.OLDER_AFTER_NEWER_IGNORED);
		assertThat(counts).containsKey(OrderFinding.FENCED);
		assertThat(counts).doesNotContainKey(OrderFinding.OLDER_AFTER_NEWER_CHECKED);
		assertThat(counts).doesNotContainKey(OrderFinding.UNCONVERGED);
	}

	private static Map<OrderFinding, Long> run(OrderSettings settings, boolean checksBeforeSending,
			boolean unprovableFaults) {
		Map<OrderFinding, Long> total = new EnumMap<>(OrderFinding.class);
		LongStream.rangeClosed(1, SCHEDULES)
			.mapToObj((seed) -> new OrderFaultSimulation(seed, settings, checksBeforeSending, unprovableFaults).run())
			.forEach((findings) -> findings.forEach((finding, count) -> total.merge(finding, count, Long::sum)));
		LOGGER.infof("Schedules run: margin=%b check=%b unprovableFaults=%b counts=%s",
				settings.orderTimeoutMillis() > 0, checksBeforeSending, unprovableFaults, total);
		return total;
	}

}
