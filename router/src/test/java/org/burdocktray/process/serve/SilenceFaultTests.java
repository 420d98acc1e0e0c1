package org.burdocktray.process.serve;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import io.vertx.core.Future;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import org.burdocktray.standins.engine.EngineFaults;
import org.burdocktray.standins.engine.EngineStandIn;
import org.burdocktray.standins.service.ServiceFaults;
import org.burdocktray.standins.service.ServiceStandIn;
import org.burdocktray.version.bundle.Bundle;
import org.burdocktray.version.bundle.Limits;
import org.burdocktray.version.routing.RoutingSnapshot;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Counts the requests that end without a complete response and without a refusal while
 * sound engines and services fall silent by turns, several at once and more than once
 * within one response, while a bundle is rolled and one of two routers is stopped as
 * planned. The bound is 0.
 */
class SilenceFaultTests {

	private static final int REQUESTS = 60;

	private static final int CANDIDATE_TEXTS = 2_000;

	private static final int SILENCES = 30;

	private static final int DURATION_MILLIS = 8_000;

	private static final int MIN_SILENCE_MILLIS = 500;

	private static final int MAX_SILENCE_MILLIS = 2_000;

	private static final int ROLL_MILLIS = 3_000;

	private static final int STOP_MILLIS = 5_000;

	private static final long STEP_MILLIS = 20;

	private static final long BETWEEN_TOKENS_TIMEOUT_MILLIS = 1_000;

	private static final double LOW_RETRY_BUDGET_RATIO = 0.01;

	private static final EngineFaults FROZEN = new EngineFaults(true, 0, "", 0, 0, false, false, 0, false);

	private final ScheduledExecutorService clock = Executors.newScheduledThreadPool(2);

	@ParameterizedTest
	@ValueSource(longs = { 1, 2 })
	void noRequestIsLostWhileSoundUpstreamsFallSilent(long seed) {
		Random random = new Random(seed);
		try (TestFleet fleet = new TestFleet(2, 2, 3, STEP_MILLIS, BETWEEN_TOKENS_TIMEOUT_MILLIS)) {
			roll(fleet, 2);
			for (int index = 0; index < SILENCES; index++) {
				scheduleSilence(fleet, random);
			}
			List<String> texts = longestAnswers();
			List<CompletableFuture<String>> outcomes = new ArrayList<>();
			for (int index = 0; index < REQUESTS; index++) {
				outcomes.add(scheduleRequest(fleet, random, index, texts.get(index)));
			}
			at(ROLL_MILLIS, () -> roll(fleet, 3));
			Future<Void> stopped = supplyAt(STOP_MILLIS, () -> fleet.router(1).stop()).join();
			List<String> lost = outcomes.stream()
				.map(CompletableFuture::join)
				.filter((outcome) -> outcome.startsWith("lost"))
				.toList();
			TestFleet.await(stopped);
			fleet.forget(1);
			assertThat(lost).isEmpty();
		}
		finally {
			this.clock.shutdownNow();
		}
	}

	private static List<String> longestAnswers() {
		return IntStream.range(0, CANDIDATE_TEXTS)
			.mapToObj((index) -> "panel " + index)
			.sorted(Comparator.comparing((text) -> -TestFleet.expectedResponse(text).tokens().size()))
			.limit(REQUESTS)
			.toList();
	}

	private void scheduleSilence(TestFleet fleet, Random random) {
		int startMillis = random.nextInt(DURATION_MILLIS);
		int silenceMillis = MIN_SILENCE_MILLIS + random.nextInt(MAX_SILENCE_MILLIS - MIN_SILENCE_MILLIS);
		int target = random.nextInt(6);
		if (target == 5) {
			ServiceStandIn replica = fleet.replicas().get(random.nextInt(2));
			at(startMillis, () -> replica.applyFaults(new ServiceFaults(silenceMillis, 0, 0, 0, false, false, "")));
			at(startMillis + silenceMillis, () -> replica.applyFaults(ServiceFaults.NONE));
			return;
		}
		silence((target < 2) ? fleet.head(target) : fleet.tail(target - 2), startMillis, silenceMillis);
		silence(fleet.tail(random.nextInt(3)), startMillis + random.nextInt(MIN_SILENCE_MILLIS), silenceMillis);
	}

	private void silence(EngineStandIn engine, int startMillis, int silenceMillis) {
		at(startMillis, () -> engine.applyFaults(FROZEN));
		at(startMillis + silenceMillis, () -> engine.applyFaults(EngineFaults.NONE));
	}

	private CompletableFuture<String> scheduleRequest(TestFleet fleet, Random random, int index, String text) {
		int startMillis = random.nextInt(DURATION_MILLIS);
		TestCaller first = fleet.caller(0);
		TestCaller second = fleet.caller((startMillis < STOP_MILLIS) ? 1 : 0);
		TestCaller caller = random.nextBoolean() ? first : second;
		if (index % 5 == 0) {
			return supplyAt(startMillis, () -> caller.send("POST", "/services/booking/search", "{}"))
				.thenCompose((response) -> response)
				.handle(SilenceFaultTests::serviceOutcome);
		}
		return supplyAt(startMillis, () -> caller.streamAsync(text)).thenCompose((response) -> response)
			.handle((response, failure) -> streamOutcome(text, response, failure));
	}

	private static String streamOutcome(String text, TestCaller.StreamedResponse response, Throwable failure) {
		if (failure != null) {
			return "lost " + text + ": " + failure;
		}
		if (response.status() != 200) {
			return isRefusal(response.text()) ? "refused" : "lost " + text + ": " + response;
		}
		String expected = TestFleet.expectedResponse(text).text();
		return (response.done() && response.text().equals(expected)) ? "complete" : "lost " + text + ": " + response;
	}

	private static String serviceOutcome(HttpResponse<String> response, Throwable failure) {
		if (failure != null) {
			return "lost search: " + failure;
		}
		if (response.statusCode() != 200) {
			return isRefusal(response.body()) ? "refused" : "lost search: " + response.body();
		}
		return response.body().endsWith("}") ? "complete" : "lost search: " + response.body();
	}

	private static boolean isRefusal(String body) {
		try {
			return new JsonObject(body).containsKey("ran");
		}
		catch (DecodeException ex) {
			return false;
		}
	}

	private static void roll(TestFleet fleet, long version) {
		Bundle bundle = fleet.bundle(version);
		Limits limits = bundle.limits();
		Limits lowBudget = new Limits(limits.maxBodyBytes(), limits.maxHeaderBytes(), limits.requestReadTimeoutMillis(),
				limits.firstTokenTimeoutMillis(), limits.betweenTokensTimeoutMillis(), limits.requestTimeoutMillis(),
				limits.callerIdleTimeoutMillis(), limits.maxBufferedBytesPerCaller(), LOW_RETRY_BUDGET_RATIO,
				limits.drainTimeoutMillis());
		Bundle next = new Bundle(version, bundle.models(), bundle.engines(), bundle.links(), bundle.services(),
				bundle.organisations(), bundle.operators(), bundle.objectives(), lowBudget);
		for (int index = 0; index < 2; index++) {
			fleet.router(index).gate().offer(RoutingSnapshot.of(next));
			fleet.router(index).currentVersion().refresh();
		}
	}

	private void at(int delayMillis, Runnable action) {
		this.clock.schedule(action, delayMillis, TimeUnit.MILLISECONDS);
	}

	private <T> CompletableFuture<T> supplyAt(int delayMillis, Callable<T> action) {
		CompletableFuture<T> result = new CompletableFuture<>();
		this.clock.schedule(() -> {
			try {
				result.complete(action.call());
			}
			catch (Exception ex) {
				result.completeExceptionally(ex);
			}
		}, delayMillis, TimeUnit.MILLISECONDS);
		return result;
	}

}
