package org.burdocktray.process.serve;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.disposables.Disposable;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import org.burdocktray.connection.engine.AttemptRequest;
import org.burdocktray.connection.engine.EngineClient;
import org.burdocktray.connection.engine.EngineEvent;
import org.burdocktray.model.Refusal;
import org.burdocktray.request.stream.StreamAction;
import org.burdocktray.request.stream.StreamSession;
import org.burdocktray.version.bundle.Engine;

/**
 * Performs the actions of a {@link StreamSession}. Invariant: the listener receives
 * exactly one of {@link Listener#onComplete}, {@link Listener#onFail} and
 * {@link Listener#onAbandoned}. Thread safety: confined to the event loop of the request;
 * events from other threads are dispatched to it.
 */
final class StreamDriver {

	private static final long TICK_MILLIS = 200;

	private static final long PROBE_TIMEOUT_MILLIS = 400;

	private final Vertx vertx;

	private final Context context;

	private final EngineClient engines;

	private final StreamSession session;

	private final Listener listener;

	private final Function<List<Engine>, Runnable> acquireInFlight;

	private long timer;

	private int currentAttempt;

	private Disposable attemptSubscription = Disposable.disposed();

	private final CompositeDisposable supersededSubscriptions = new CompositeDisposable();

	private boolean stopped;

	private Runnable releaseInFlight = () -> {
	};

	StreamDriver(Vertx vertx, EngineClient engines, StreamSession session, Listener listener,
			Function<List<Engine>, Runnable> acquireInFlight) {
		this.vertx = vertx;
		this.context = vertx.getOrCreateContext();
		this.engines = engines;
		this.session = session;
		this.listener = listener;
		this.acquireInFlight = acquireInFlight;
	}

	/** Starts the stream. */
	void start() {
		this.timer = this.vertx.setPeriodic(TICK_MILLIS, (id) -> perform(this.session.onTick(System.nanoTime())));
		perform(this.session.start(System.nanoTime()));
	}

	/** Cancels the stream because its caller disconnected or reads too slowly. */
	void cancel() {
		if (this.stopped) {
			return;
		}
		this.session.onCallerDisconnected();
		stop();
		this.listener.onAbandoned();
	}

	private void perform(List<StreamAction> actions) {
		actions.forEach(this::perform);
	}

	// An action can stop the stream in the middle of a list.
	private void perform(StreamAction action) {
		if (this.stopped) {
			return;
		}
		if (action instanceof StreamAction.Deliver deliver) {
			if (!this.listener.onToken(deliver.text())) {
				cancel();
			}
		}
		else if (action instanceof StreamAction.StartAttempt start) {
			startAttempt(start.request());
		}
		else if (action instanceof StreamAction.ResumeAttempt resume) {
			occupy(resume.stages());
		}
		else if (action instanceof StreamAction.CancelAttempt cancel) {
			cancelAttempt(cancel.attempt());
		}
		else if (action instanceof StreamAction.ProbeStages probe) {
			probe(probe);
		}
		else if (action instanceof StreamAction.ReportUpstreamFailure failure) {
			this.listener.onUpstreamFailure(failure.upstreamName());
		}
		else if (action instanceof StreamAction.ReportUpstreamLeaving leaving) {
			this.listener.onUpstreamLeaving(leaving.upstreamName());
		}
		else if (action instanceof StreamAction.Complete complete) {
			stop();
			this.listener.onComplete(complete);
		}
		else if (action instanceof StreamAction.Fail fail) {
			stop();
			this.listener.onFail(fail.refusal(), fail.deliveredTokens());
		}
	}

	private void startAttempt(AttemptRequest request) {
		occupy(request.stages());
		this.currentAttempt = request.attempt();
		this.supersededSubscriptions.add(this.attemptSubscription);
		this.attemptSubscription = this.engines.startAttempt(request).subscribe(this::onEngineEvent);
	}

	private void occupy(List<Engine> stages) {
		this.releaseInFlight.run();
		this.releaseInFlight = this.acquireInFlight.apply(stages);
		this.listener.onAttempt(stages);
	}

	private void onEngineEvent(EngineEvent event) {
		if (Vertx.currentContext() == this.context) {
			accept(event);
			return;
		}
		this.context.runOnContext((run) -> accept(event));
	}

	private void accept(EngineEvent event) {
		if (event.attempt() == this.currentAttempt && event.hasReachedEngines()) {
			this.supersededSubscriptions.clear();
		}
		perform(this.session.onEvent(event, System.nanoTime()));
	}

	private void cancelAttempt(int attempt) {
		if (attempt == this.currentAttempt) {
			this.attemptSubscription.dispose();
		}
	}

	private void probe(StreamAction.ProbeStages probe) {
		Flowable.fromIterable(probe.stages())
			.flatMapSingle((stage) -> this.engines.fetchLoad(stage, PROBE_TIMEOUT_MILLIS)
				.map((load) -> new ProbeResult(stage.name(), load.reachable())))
			.filter((result) -> !result.reachable())
			.map(ProbeResult::upstreamName)
			.collect(Collectors.toCollection(HashSet::new))
			.subscribe((unresponsive) -> onProbed(probe.attempt(), unresponsive));
	}

	private void onProbed(int attempt, Set<String> unresponsiveUpstreams) {
		this.context.runOnContext(
				(run) -> perform(this.session.onProbeResult(attempt, unresponsiveUpstreams, System.nanoTime())));
	}

	private void stop() {
		this.stopped = true;
		this.vertx.cancelTimer(this.timer);
		this.attemptSubscription.dispose();
		this.supersededSubscriptions.dispose();
		this.releaseInFlight.run();
		this.releaseInFlight = () -> {
		};
	}

	/** Receives the events of the stream. */
	interface Listener {

		/**
		 * Called when an attempt starts.
		 * @param stages the engines of the attempt
		 */
		void onAttempt(List<Engine> stages);

		/**
		 * Called for each token, in order.
		 * @param text the token's text
		 * @return false to cancel the stream because the caller reads too slowly
		 */
		boolean onToken(String text);

		/**
		 * Called when an upstream failed while it ran the stream.
		 * @param upstreamName the name of the upstream
		 */
		void onUpstreamFailure(String upstreamName);

		/**
		 * Called when an upstream refused the stream because it accepts no new work.
		 * @param upstreamName the name of the upstream
		 */
		void onUpstreamLeaving(String upstreamName);

		/**
		 * Called when the response is complete.
		 * @param complete the finish reason and token counts
		 */
		void onComplete(StreamAction.Complete complete);

		/**
		 * Called when the response ends with an error.
		 * @param refusal the error
		 * @param deliveredTokens the number of tokens delivered to the caller
		 */
		void onFail(Refusal refusal, int deliveredTokens);

		/** Called when the stream was cancelled by {@link StreamDriver#cancel()}. */
		void onAbandoned();

	}

	private record ProbeResult(String upstreamName, boolean reachable) {

	}

}
