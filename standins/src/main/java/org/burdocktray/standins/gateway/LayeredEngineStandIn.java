package org.burdocktray.standins.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;

/**
 * A stand-in for an engine that holds a range of layers, executes orders and responds to
 * requests with a stream of events. A request is accepted only when every engine of its
 * path holds its layers and has not failed. While an engine of the path has failed or is
 * silent, no event is produced. Each engine of the path records each event. Thread
 * safety: see {@link ReplicaStandIn}.
 */
public final class LayeredEngineStandIn extends ReplicaStandIn {

	/** The body of requests whose events are long. */
	public static final String LONG_EVENTS_BODY = "has long events";

	/** What each long event adds to its data. */
	public static final String LONG_EVENT_TAIL = "-" + "x".repeat(192 * 1024);

	private static final int EVENT_INTERVAL_MILLIS = 20;

	private static final int MISDIRECTED_REQUEST = 421;

	private static final int INTERNAL_SERVER_ERROR = 500;

	private static final int SERVICE_UNAVAILABLE = 503;

	private final EngineNetwork network;

	private final int eventsPerResponse;

	private final Map<String, List<PathStage>> paths = new HashMap<>();

	private final Map<String, Integer> eventCounts = new ConcurrentHashMap<>();

	private final Map<String, String> priorities = new ConcurrentHashMap<>();

	private final AtomicInteger acceptedRequests = new AtomicInteger();

	private volatile int fromLayer;

	private volatile int toLayer;

	private volatile boolean processingStopped;

	private volatile boolean failingResumedRequests;

	private volatile boolean trickling;

	private int sequence;

	/**
	 * Creates an engine without layers.
	 * @param id the id of the engine
	 * @param network the engines that this engine can reach
	 * @param eventsPerResponse the number of events in a response
	 */
	public LayeredEngineStandIn(String id, EngineNetwork network, int eventsPerResponse) {
		super(id);
		this.network = network;
		this.eventsPerResponse = eventsPerResponse;
	}

	/**
	 * Starts the server and joins the network.
	 * @return this engine
	 */
	public LayeredEngineStandIn startAndJoin() {
		start(0);
		this.network.add(this);
		return this;
	}

	/**
	 * Sets the layers of the engine without an order.
	 * @param firstLayer the first layer
	 * @param endLayer the end of the layer range, exclusive
	 */
	public void setLayers(int firstLayer, int endLayer) {
		this.fromLayer = firstLayer;
		this.toLayer = endLayer;
	}

	/** Stops all processing without closing connections, as a failed machine does. */
	public void fail() {
		setFailed();
	}

	/**
	 * Stops producing events, but continues to report and to accept requests (a gray
	 * failure).
	 */
	public void stopProcessing() {
		this.processingStopped = true;
	}

	/**
	 * Produces no event any more, but sends a byte of the next one now and then, so that
	 * its streams never end and are never quiet.
	 */
	public void trickle() {
		this.trickling = true;
	}

	/**
	 * Returns how many requests this engine accepted as the first engine of their path.
	 * @return the count, with requests to which it responded with an error
	 */
	public int acceptedRequestCount() {
		return this.acceptedRequests.get();
	}

	/**
	 * Returns the priority with which this engine got a request as the first engine of
	 * its path.
	 * @param requestId the id of the request
	 * @return the value of the last one, empty if it had none
	 */
	public Optional<String> priority(String requestId) {
		return Optional.ofNullable(this.priorities.get(requestId));
	}

	/** Responds to requests that resume a stream with an error from now on. */
	public void failResumedRequests() {
		this.failingResumedRequests = true;
	}

	/**
	 * Returns how often this engine processed an event of a request.
	 * @param requestId the id of the request
	 * @param event the number of the event, starting at 1
	 * @return the count
	 */
	public int eventCount(String requestId, int event) {
		return this.eventCounts.getOrDefault(requestId + "/" + event, 0);
	}

	/**
	 * Returns the engine's entry in the metadata store.
	 * @param service the name of the engine's service
	 * @param zone the name of its data centre
	 * @param kind the name of its kind of accelerator
	 * @return the entry as JSON
	 */
	public String storeEntry(String service, String zone, String kind) {
		return new JsonObject().put("service", service)
			.put("address", address())
			.put("zone", zone)
			.put("slots", 8)
			.put("state", "ready")
			.put("sequence", 1)
			.put("born", 1)
			.put("kind", kind)
			.put("layers", layersJson())
			.encode();
	}

	boolean hasLayers(int firstLayer, int endLayer) {
		return this.fromLayer <= firstLayer && endLayer <= this.toLayer;
	}

	void recordEvent(String requestId, int event) {
		this.eventCounts.merge(requestId + "/" + event, 1, Integer::sum);
	}

	@Override
	void addReplicaRoutes(Router router) {
		router.get("/report").handler(this::handleReport);
		router.post("/order").handler(this::handleOrder);
		router.route().handler(this::handleRequest);
	}

	private void handleReport(RoutingContext context) {
		JsonArray stalled = new JsonArray();
		this.paths.forEach((requestId, path) -> findStallingStage(path)
			.ifPresent((stage) -> stalled.add(new JsonObject().put("id", requestId).put("address", stage.address()))));
		respondJson(context, 200,
				new JsonObject().put("born", 1)
					.put("busy", false)
					.put("sequence", this.sequence)
					.put("layers", layersJson())
					.put("pace", 1.0)
					.put("stalled", stalled));
	}

	private void handleOrder(RoutingContext context) {
		JsonObject order = context.body().asJsonObject();
		if ("repath".equals(order.getString("operation"))) {
			boolean isInProgress = this.paths.containsKey(order.getString("id"));
			if (isInProgress) {
				this.paths.put(order.getString("id"), parsePath(order.getString("path")));
			}
			respondEmpty(context, isInProgress ? 202 : 404);
			return;
		}
		if (order.getInteger("expected", this.sequence) != this.sequence) {
			respondEmpty(context, 409);
			return;
		}
		this.sequence++;
		setLayers(order.getInteger("from"), order.getInteger("to"));
		respondEmpty(context, 202);
	}

	private void handleRequest(RoutingContext context) {
		recordArrival(context);
		if (rejectToPause(context)) {
			return;
		}
		String target = context.request().getHeader("X-Burdocktray-Target-Instance");
		List<PathStage> path = parsePath(context.request().getHeader("X-Burdocktray-Hop-Count"));
		if (!id().equals(target) || path.stream()
			.anyMatch((stage) -> !this.network.hasLayers(stage.address(), stage.fromLayer(), stage.toLayer()))) {
			context.response().setStatusCode(MISDIRECTED_REQUEST).putHeader("X-Burdocktray-Not-Executed", "1").end();
			return;
		}
		Optional<PathStage> failedStage = findFailedStage(path);
		if (failedStage.isPresent()) {
			context.response()
				.setStatusCode(SERVICE_UNAVAILABLE)
				.putHeader("X-Burdocktray-Not-Executed", "1")
				.putHeader("At-Server", failedStage.get().address())
				.end();
			return;
		}
		HttpServerResponse response = context.response();
		if (response.closed()) {
			return;
		}
		String requestId = context.request().getHeader("X-Burdocktray-Request-Id");
		String lastEventId = context.request().getHeader("Last-Event-Id");
		this.acceptedRequests.incrementAndGet();
		Optional.ofNullable(context.request().getHeader("X-Burdocktray-Request-Priority"))
			.ifPresent((priority) -> this.priorities.put(requestId, priority));
		this.paths.put(requestId, path);
		response.closeHandler((closed) -> this.paths.remove(requestId));
		response.putHeader("X-Burdocktray-Request-Id", requestId)
			.putHeader("X-Burdocktray-Response-Signature", "signed-by-" + id())
			.putHeader("Content-Type", "text/event-stream")
			.setChunked(true);
		if (this.failingResumedRequests && lastEventId != null) {
			response.setStatusCode(INTERNAL_SERVER_ERROR).end();
			return;
		}
		int firstEvent = (lastEventId != null) ? Integer.parseInt(lastEventId) + 1 : 1;
		if (isEnding(context)) {
			beginToEnd(response, requestId);
			return;
		}
		String tail = LONG_EVENTS_BODY.equals(context.body().asString()) ? LONG_EVENT_TAIL : "";
		sendNextEvent(response, requestId, firstEvent, tail);
	}

	private void beginToEnd(HttpServerResponse response, String requestId) {
		if (endMoment() == EndMoment.BEFORE_HEAD) {
			endOneStage(response, requestId);
			return;
		}
		response.write((endMoment() == EndMoment.INSIDE_EVENT) ? "id: 1\ndata: beg" : "");
		continueAfter(EVENT_INTERVAL_MILLIS, () -> endOneStage(response, requestId));
	}

	// Ends one stage of the path, and after each change of the path one of the new path.
	private void endOneStage(HttpServerResponse response, String requestId) {
		List<PathStage> path = this.paths.get(requestId);
		if (response.closed() || hasFailed() || path == null) {
			return;
		}
		if (findFailedStage(path).isEmpty()) {
			this.network.endOneOf(path.stream().map(PathStage::address).toList(), requestId);
		}
		continueAfter(EVENT_INTERVAL_MILLIS, () -> endOneStage(response, requestId));
	}

	private void sendNextEvent(HttpServerResponse response, String requestId, int event, String tail) {
		List<PathStage> path = this.paths.get(requestId);
		if (response.closed() || hasFailed() || this.processingStopped || path == null) {
			return;
		}
		if (event > this.eventsPerResponse) {
			this.paths.remove(requestId);
			response.end();
			return;
		}
		if (this.trickling) {
			response.write(":");
			continueAfter(EVENT_INTERVAL_MILLIS, () -> sendNextEvent(response, requestId, event, tail));
			return;
		}
		boolean isStalled = findStallingStage(path).isPresent();
		if (!isStalled) {
			path.forEach((stage) -> this.network.recordEvent(stage.address(), requestId, event));
			response.write("id: " + event + "\ndata: " + requestId + "-" + event + tail + "\n\n");
		}
		continueAfter(EVENT_INTERVAL_MILLIS,
				() -> sendNextEvent(response, requestId, isStalled ? event : event + 1, tail));
	}

	private Optional<PathStage> findFailedStage(List<PathStage> path) {
		return path.stream().filter((stage) -> this.network.hasFailed(stage.address())).findFirst();
	}

	private Optional<PathStage> findStallingStage(List<PathStage> path) {
		return path.stream()
			.filter((stage) -> this.network.hasFailed(stage.address()) || this.network.isSilent(stage.address()))
			.findFirst();
	}

	private JsonObject layersJson() {
		return (this.toLayer > this.fromLayer) ? new JsonObject().put("from", this.fromLayer).put("to", this.toLayer)
				: null;
	}

	private static List<PathStage> parsePath(String header) {
		List<PathStage> stages = new ArrayList<>();
		for (String element : header.split(",")) {
			String[] range = element.substring(element.indexOf('=') + 1).split("-");
			stages.add(new PathStage(element.substring(0, element.indexOf('=')), Integer.parseInt(range[0]),
					Integer.parseInt(range[1])));
		}
		return stages;
	}

	private static void respondJson(RoutingContext context, int statusCode, JsonObject body) {
		context.response().setStatusCode(statusCode).putHeader("Content-Type", "application/json").end(body.encode());
	}

	private record PathStage(String address, int fromLayer, int toLayer) {

	}

}
