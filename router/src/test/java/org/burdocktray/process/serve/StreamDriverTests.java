package org.burdocktray.process.serve;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.processors.UnicastProcessor;
import io.vertx.core.Vertx;
import org.burdocktray.connection.engine.AttemptRequest;
import org.burdocktray.connection.engine.EngineClient;
import org.burdocktray.connection.engine.EngineEvent;
import org.burdocktray.connection.engine.EngineLoad;
import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.model.Refusal;
import org.burdocktray.request.route.PipelineRoute;
import org.burdocktray.request.route.RouteQuery;
import org.burdocktray.request.stream.StreamAction;
import org.burdocktray.request.stream.StreamRequest;
import org.burdocktray.request.stream.StreamSession;
import org.burdocktray.request.stream.StreamTimeouts;
import org.burdocktray.version.bundle.Engine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests what a caller gets of an attempt that is resumed.
 */
class StreamDriverTests {

	private static final long TIMEOUT_SECONDS = 20;

	private static final Engine HEAD = engine("head", 0);

	private static final Engine TAIL = engine("tail-1", 1);

	private static final Engine OTHER_TAIL = engine("tail-2", 1);

	private final Vertx vertx = Vertx.vertx();

	private final FakeEngines engines = new FakeEngines();

	private final CompletableFuture<String> ending = new CompletableFuture<>();

	@AfterEach
	void close() {
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	/** The caller's write queue is full when the events that were held are delivered. */
	@Test
	void responseWithoutATokenIsNotCompleted() {
		StreamSession session = new StreamSession(
				new StreamRequest("s", "panel", "1", 0, "prompt", 8, 0, new DataCentre("ghent"),
						System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS)),
				StreamDriverTests::plan, (newUpstreams, afterProgress) -> Optional.empty(),
				new StreamTimeouts(TimeUnit.MILLISECONDS.toNanos(300), 3, 5));
		this.vertx.getOrCreateContext()
			.runOnContext(
					(now) -> new StreamDriver(this.vertx, this.engines, session, new FullCaller(), (stages) -> () -> {
					}).start());
		EngineEvents first = this.engines.await(1);
		EngineEvents second = this.engines.await(2);
		first.send(new EngineEvent.Token(1, 0, "the"));
		first.send(new EngineEvent.Token(1, 1, "culture"));
		first.send(new EngineEvent.Done(1, "stop", 2));
		second.send(new EngineEvent.Refused(2, 503, OptionalLong.empty()));
		assertThat(this.ending.orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS).join()).isNotEqualTo("complete");
	}

	private static Optional<PipelineRoute> plan(RouteQuery query) {
		if (query.excludedUpstreams().contains(HEAD.name())) {
			return Optional.empty();
		}
		Engine tail = query.excludedUpstreams().contains(TAIL.name()) ? OTHER_TAIL : TAIL;
		return Optional.of(new PipelineRoute("panel", List.of(HEAD, tail)));
	}

	private static Engine engine(String name, int layer) {
		return new Engine(name, new DataCentre("ghent"), new NetworkAddress("127.0.0.1", 9000), "panel", layer,
				layer + 1, "kind", 100, 8, List.of(), true);
	}

	private record EngineEvents(UnicastProcessor<EngineEvent> processor) {

		void send(EngineEvent event) {
			this.processor.onNext(event);
		}

	}

	private static final class FakeEngines implements EngineClient {

		private final Map<Integer, EngineEvents> attempts = new ConcurrentHashMap<>();

		EngineEvents await(int attempt) {
			long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
			while (!this.attempts.containsKey(attempt) && System.nanoTime() < endNanos) {
				Thread.onSpinWait();
			}
			return this.attempts.get(attempt);
		}

		@Override
		public Flowable<EngineEvent> startAttempt(AttemptRequest request) {
			EngineEvents events = new EngineEvents(UnicastProcessor.create());
			this.attempts.put(request.attempt(), events);
			return events.processor();
		}

		@Override
		public Single<EngineLoad> fetchLoad(Engine engine, long timeoutMillis) {
			return Single.just(new EngineLoad(!engine.equals(TAIL), 0, 0, false));
		}

	}

	private final class FullCaller implements StreamDriver.Listener {

		@Override
		public void onAttempt(List<Engine> stages) {
		}

		@Override
		public boolean onToken(String text) {
			return false;
		}

		@Override
		public void onUpstreamFailure(String upstreamName) {
		}

		@Override
		public void onUpstreamLeaving(String upstreamName) {
		}

		@Override
		public void onComplete(StreamAction.Complete complete) {
			StreamDriverTests.this.ending.complete("complete");
		}

		@Override
		public void onFail(Refusal refusal, int deliveredTokens) {
			StreamDriverTests.this.ending.complete("failed");
		}

		@Override
		public void onAbandoned() {
			StreamDriverTests.this.ending.complete("abandoned");
		}

	}

}
