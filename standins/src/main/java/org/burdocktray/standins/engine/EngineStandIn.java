package org.burdocktray.standins.engine;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.IntStream;

import io.vertx.core.AsyncResult;
import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import org.burdocktray.standins.FreezeGate;
import org.burdocktray.standins.HttpStandIn;
import org.burdocktray.standins.Problem;
import org.burdocktray.standins.model.Tokens;

/**
 * A stand-in for a model engine, which runs a range of layers of the toy model. Each
 * position of a stream runs once. As the head, the engine refuses an attempt whose number
 * is not higher than the last one. Thread safety: all state except the log is confined to
 * the event loop; see {@link HttpStandIn} for the life cycle.
 */
public final class EngineStandIn extends HttpStandIn implements HeadStream.StepRunner, HeadStream.EndListener {

	private static final long SWEEP_INTERVAL_MILLIS = 1_000;

	private static final String RETRY_AFTER_SECONDS = "1";

	private final EngineOptions options;

	private final ExecutionLog log = new ExecutionLog();

	private final FreezeGate gate = new FreezeGate(this::isStopped);

	private final Map<String, HeadStream> heads = new HashMap<>();

	private final StreamTable streams;

	private final StageClient client;

	private final StageRunner runner;

	private LoadedLayers loaded;

	private EngineFaults faults = EngineFaults.NONE;

	private long highestFencingNumber = Long.MIN_VALUE;

	private long ordersTaken;

	private long ordersRefused;

	private long streamsStarted;

	private long released;

	private long positionsAtLastSweep;

	private double measuredPositionsPerSecond;

	/**
	 * Creates an engine.
	 * @param options the start options
	 */
	public EngineStandIn(EngineOptions options) {
		this.options = options;
		this.loaded = new LoadedLayers(options.model(), options.modelVersion(), options.adapters(), options.fromLayer(),
				options.toLayer());
		this.streams = new StreamTable(options.retentionMillis(), this.log::recordEnd);
		this.client = new StageClient(vertx(), options.stepTimeoutMillis());
		this.runner = new StageRunner(vertx(), options, this.streams, this.log, this.gate, this.client, this::crash);
	}

	/**
	 * Returns a copy of the log. May be called from any thread, also after a crash.
	 * @return the positions that ran, in order
	 */
	public List<ExecutedStep> log() {
		return this.log.entries();
	}

	/**
	 * Returns how often a position of a stream ran twice or out of order. May be called
	 * from any thread, also after a crash.
	 * @return the number of violations
	 */
	public long violations() {
		return this.log.violations();
	}

	/**
	 * Replaces the active faults, as a PUT to {@code /standin/faults} does. May be called
	 * from any thread except the event loop.
	 * @param newFaults the new faults
	 */
	public void applyFaults(EngineFaults newFaults) {
		runOnEventLoop(() -> replaceFaults(newFaults));
	}

	@Override
	protected void addRoutes(Router router) {
		router.post("/v1/pipeline/streams").handler(gated(this::startStream));
		router.delete("/v1/pipeline/streams/:streamId").handler(gated(this::cancelStream));
		router.post("/v1/pipeline/steps").handler(gated(this::runSteps));
		router.get("/v1/load").handler(gated(this::reportLoad));
		router.put("/v1/desired").handler(gated(this::applyOrder));
		router.get("/v1/kv/:streamId").handler(gated(this::exportStream));
		router.put("/v1/kv/:streamId").handler(gated(this::importStream));
		router.get("/standin/log").handler((context) -> respondNdjson(context, log()));
		router.get("/standin/counts").handler(this::reportCounts);
		router.get("/standin/loaded").handler((context) -> respond(context, 200, this.loaded));
		router.get("/standin/faults").handler((context) -> respond(context, 200, this.faults));
		router.put("/standin/faults").handler(this::setFaults);
		vertx().setPeriodic(SWEEP_INTERVAL_MILLIS, (timer) -> sweep());
	}

	private Handler<RoutingContext> gated(Consumer<RoutingContext> action) {
		return (context) -> this.gate.submit(() -> action.accept(context));
	}

	private void startStream(RoutingContext context) {
		StreamRequest request = decodeBody(context, StreamRequest.class);
		if (this.faults.crashesOn(request.prompt())) {
			crash();
			return;
		}
		if (this.faults.leaving()) {
			respond(context, 503, Problem.notRun("leaving"));
			return;
		}
		if (request.stages().isEmpty() || Tokens.split(request.prompt()).isEmpty()) {
			respond(context, 400, Problem.notRun("no stages or empty prompt"));
			return;
		}
		if (request.stages().get(0).fromLayer() != 0
				|| !this.loaded.serves(request.identity(), request.stages().get(0))) {
			respond(context, 404, Problem.notRun("other model, version, adapter or layers"));
			return;
		}
		if (!this.streams.isNewAttempt(request.streamId(), request.attempt())) {
			respond(context, 409, Problem.notRun("attempt is not above the last one"));
			return;
		}
		HeadStream earlier = this.heads.get(request.streamId());
		if (earlier == null && this.heads.size() >= this.options.maxStreams()) {
			context.response().putHeader("Retry-After", RETRY_AFTER_SECONDS);
			respond(context, 429, Problem.notRun("full"));
			return;
		}
		if (earlier != null) {
			earlier.supersede();
		}
		startAttempt(context, request);
	}

	private void startAttempt(RoutingContext context, StreamRequest request) {
		this.streamsStarted++;
		HeadStream stream = new HeadStream(request, context.response(), this, this);
		this.heads.put(request.streamId(), stream);
		this.streams.startAttempt(request.streamId(), request.attempt(), request.identity(), request.stages().get(0),
				System.nanoTime());
		context.response().closeHandler((closed) -> this.gate.submit(stream::onCallerDisconnect));
		stream.start();
	}

	@Override
	public Future<String> run(StreamRequest request, HeadStream.TokenSource tokens, int lastPosition) {
		int nextPosition = this.streams.find(request.streamId()).map(StreamState::nextPosition).orElse(0);
		int fromPosition = Math.min(nextPosition, lastPosition);
		List<String> activations = IntStream.rangeClosed(fromPosition, lastPosition)
			.mapToObj((position) -> Activations.encode(Tokens.embed(tokens.tokenAt(position))))
			.toList();
		return this.runner.run(request.toStepsRequest(0, fromPosition, activations), this.loaded);
	}

	@Override
	public boolean isDuplicatingTokens() {
		return this.faults.duplicateTokens();
	}

	@Override
	public void onEnd(HeadStream stream, boolean releasesState) {
		StreamRequest request = stream.request();
		this.heads.remove(request.streamId(), stream);
		// A crash also closes the callers' connections, but must not cancel the streams.
		if (!releasesState || isStopped()) {
			return;
		}
		this.streams.endAttempt(request.streamId(), request.attempt(), System.nanoTime());
		this.client.cancel(request.streamId(), request.attempt(), request.stages());
	}

	private void cancelStream(RoutingContext context) {
		String streamId = context.pathParam("streamId");
		long attempt = Long.parseLong(context.request().getParam("attempt", "0"));
		if (this.streams.endAttempt(streamId, attempt, System.nanoTime())) {
			this.released++;
			Optional.ofNullable(this.heads.remove(streamId)).ifPresent(this::cancelHead);
		}
		respondEmpty(context, 204);
	}

	private void cancelHead(HeadStream stream) {
		stream.supersede();
		StreamRequest request = stream.request();
		this.client.cancel(request.streamId(), request.attempt(), request.stages());
	}

	private void runSteps(RoutingContext context) {
		StepsRequest steps = decodeBody(context, StepsRequest.class);
		this.runner.run(steps, this.loaded).onComplete((result) -> respondStep(context, result, steps.stageIndex()));
	}

	private static void respondStep(RoutingContext context, AsyncResult<String> result, int stageIndex) {
		if (result.succeeded()) {
			respond(context, 200, new EngineBodies.StepToken(result.result()));
			return;
		}
		if (result.cause() instanceof StepRefusedException refused) {
			respond(context, refused.statusCode(), refused.body());
			return;
		}
		StageFailureException failure = StageFailureException.of(result.cause(), stageIndex);
		respond(context, 502,
				new EngineBodies.StageFailure(failure.failedStage(), failure.getMessage(), failure.crashed()));
	}

	private void reportLoad(RoutingContext context) {
		int inFlight = (this.loaded.fromLayer() != 0) ? this.streams.countActive(System.nanoTime()) : this.heads.size();
		respond(context, 200,
				new EngineBodies.LoadReport(this.options.upstream(), inFlight, this.measuredPositionsPerSecond,
						this.faults.leaving(), this.loaded.model(), this.loaded.modelVersion()));
	}

	private void applyOrder(RoutingContext context) {
		EngineBodies.Desired desired = decodeBody(context, EngineBodies.Desired.class);
		if (this.options.checksFencing() && desired.fencingNumber() < this.highestFencingNumber) {
			this.ordersRefused++;
			respond(context, 409, Problem.notRun("fencing number below " + this.highestFencingNumber));
			return;
		}
		this.highestFencingNumber = Math.max(this.highestFencingNumber, desired.fencingNumber());
		this.ordersTaken++;
		this.loaded = new LoadedLayers(desired.model(), desired.modelVersion(), desired.adapters(), desired.fromLayer(),
				desired.toLayer());
		respondEmpty(context, 204);
	}

	private void exportStream(RoutingContext context) {
		this.streams.find(context.pathParam("streamId"))
			.ifPresentOrElse((stream) -> respond(context, 200, stream.toExport()),
					() -> respond(context, 404, Problem.notRun("no such stream")));
	}

	private void importStream(RoutingContext context) {
		String streamId = context.pathParam("streamId");
		StreamState stream = StreamState.fromExport(decodeBody(context, EngineBodies.StreamExport.class));
		this.streams.importStream(streamId, stream, System.nanoTime());
		this.log.recordImport(streamId, stream.nextPosition());
		respondEmpty(context, 204);
	}

	private void reportCounts(RoutingContext context) {
		respond(context, 200, new EngineBodies.Counts(this.streamsStarted, this.log.positions(), this.log.violations(),
				this.ordersTaken, this.ordersRefused, this.released, this.runner.staleRefused()));
	}

	private void setFaults(RoutingContext context) {
		replaceFaults(decodeBody(context, EngineFaults.class));
		respondEmpty(context, 204);
	}

	private void replaceFaults(EngineFaults newFaults) {
		this.faults = newFaults;
		this.runner.setFaults(this.faults);
		this.gate.setFrozen(this.faults.frozen());
	}

	private void sweep() {
		if (this.faults.frozen()) {
			return;
		}
		this.streams.removeExpired(System.nanoTime());
		long newPositions = this.log.positions() - this.positionsAtLastSweep;
		this.positionsAtLastSweep = this.log.positions();
		this.measuredPositionsPerSecond = newPositions * (double) TimeUnit.SECONDS.toMillis(1) / SWEEP_INTERVAL_MILLIS;
	}

}
