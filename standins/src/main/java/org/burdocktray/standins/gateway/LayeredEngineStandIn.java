package org.burdocktray.standins.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import org.burdocktray.standins.HttpStandIn;

/**
 * An engine that holds a range of layers, takes orders and answers requests with a stream
 * of events. An event is made only when every engine of the path lives and holds its
 * part, and is noted at each of them. Thread safety: see {@link HttpStandIn}.
 */
public final class LayeredEngineStandIn extends HttpStandIn {

	private static final int EVENT_INTERVAL_MILLIS = 20;

	private static final int MISDIRECTED_REQUEST = 421;

	private static final int SERVICE_UNAVAILABLE = 503;

	private final String id;

	private final EngineNetwork network;

	private final int eventsPerResponse;

	private final Map<String, List<PathStage>> paths = new HashMap<>();

	private final Map<String, Integer> eventCounts = new ConcurrentHashMap<>();

	private volatile int fromLayer;

	private volatile int toLayer;

	private volatile boolean failed;

	private volatile boolean processingStopped;

	private int sequence;

	/**
	 * Creates an engine without layers.
	 * @param id its id
	 * @param fleet the engines it reaches
	 * @param events how many events an answer has
	 */
	public LayeredEngineStandIn(String id, EngineNetwork fleet, int events) {
		this.id = id;
		this.network = fleet;
		this.eventsPerResponse = events;
	}

	/**
	 * Starts to listen and joins the fleet.
	 * @return this engine
	 */
	public LayeredEngineStandIn startAndJoin() {
		start(0);
		this.network.add(this);
		return this;
	}

	/**
	 * Gives the engine layers without an order.
	 * @param firstLayer the first layer
	 * @param endLayer the layer behind the last
	 */
	public void setLayers(int firstLayer, int endLayer) {
		this.fromLayer = firstLayer;
		this.toLayer = endLayer;
	}

	/** Stops working without closing connections. */
	public void fail() {
		this.failed = true;
	}

	/** Makes no more events, though it reports and takes requests as if it did. */
	public void stopProcessing() {
		this.processingStopped = true;
	}

	/**
	 * Returns how often a request's event passed through this engine.
	 * @param requestId the request
	 * @param event the number of the event
	 * @return the count
	 */
	public int eventCount(String requestId, int event) {
		return this.eventCounts.getOrDefault(requestId + "/" + event, 0);
	}

	/**
	 * Returns what the engine registers in the store.
	 * @param service its service
	 * @param zone where it runs
	 * @param kind its accelerator
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

	boolean hasFailed() {
		return this.failed;
	}

	void recordEvent(String requestId, int event) {
		this.eventCounts.merge(requestId + "/" + event, 1, Integer::sum);
	}

	@Override
	protected void addRoutes(Router router) {
		router.route().handler((context) -> {
			if (!this.failed) {
				context.next();
			}
		});
		router.get("/report").handler(this::handleReport);
		router.post("/order").handler(this::handleOrder);
		router.route().handler(this::handleRequest);
	}

	private void handleReport(RoutingContext context) {
		JsonArray stalled = new JsonArray();
		this.paths.forEach((requestId, path) -> findFailedStage(path)
			.ifPresent((part) -> stalled.add(new JsonObject().put("id", requestId).put("address", part.address()))));
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
			boolean isKnown = this.paths.containsKey(order.getString("id"));
			if (isKnown) {
				this.paths.put(order.getString("id"), parsePath(order.getString("path")));
			}
			respondEmpty(context, isKnown ? 202 : 404);
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
		String target = context.request().getHeader("X-Burdocktray-Target-Instance");
		List<PathStage> path = parsePath(context.request().getHeader("X-Burdocktray-Hop-Count"));
		if (!this.id.equals(target) || path.stream()
			.anyMatch((part) -> !this.network.hasLayers(part.address(), part.fromLayer(), part.toLayer()))) {
			context.response().setStatusCode(MISDIRECTED_REQUEST).putHeader("X-Burdocktray-Not-Executed", "1").end();
			return;
		}
		Optional<PathStage> deadPart = findFailedStage(path);
		if (deadPart.isPresent()) {
			context.response()
				.setStatusCode(SERVICE_UNAVAILABLE)
				.putHeader("X-Burdocktray-Not-Executed", "1")
				.putHeader("At-Server", deadPart.get().address())
				.end();
			return;
		}
		String requestId = context.request().getHeader("X-Burdocktray-Request-Id");
		String last = context.request().getHeader("Last-Event-Id");
		this.paths.put(requestId, path);
		HttpServerResponse response = context.response();
		response.closeHandler((closed) -> this.paths.remove(requestId));
		response.putHeader("X-Burdocktray-Request-Id", requestId)
			.putHeader("X-Burdocktray-Response-Signature", "signed-by-" + this.id)
			.putHeader("Content-Type", "text/event-stream")
			.setChunked(true);
		sendNextEvent(response, requestId, (last != null) ? Integer.parseInt(last) + 1 : 1);
	}

	private void sendNextEvent(HttpServerResponse response, String requestId, int event) {
		List<PathStage> path = this.paths.get(requestId);
		if (response.closed() || this.failed || this.processingStopped || path == null) {
			return;
		}
		if (event > this.eventsPerResponse) {
			this.paths.remove(requestId);
			response.end();
			return;
		}
		boolean isStalled = findFailedStage(path).isPresent();
		if (!isStalled) {
			path.forEach((part) -> this.network.recordEvent(part.address(), requestId, event));
			response.write("id: " + event + "\ndata: " + requestId + "-" + event + "\n\n");
		}
		runAfter(EVENT_INTERVAL_MILLIS, () -> sendNextEvent(response, requestId, isStalled ? event : event + 1));
	}

	private Optional<PathStage> findFailedStage(List<PathStage> path) {
		return path.stream().filter((part) -> this.network.hasFailed(part.address())).findFirst();
	}

	private JsonObject layersJson() {
		return (this.toLayer > this.fromLayer) ? new JsonObject().put("from", this.fromLayer).put("to", this.toLayer)
				: null;
	}

	private static List<PathStage> parsePath(String header) {
		List<PathStage> parts = new ArrayList<>();
		for (String text : header.split(",")) {
			String[] range = text.substring(text.indexOf('=') + 1).split("-");
			parts.add(new PathStage(text.substring(0, text.indexOf('=')), Integer.parseInt(range[0]),
					Integer.parseInt(range[1])));
		}
		return parts;
	}

	private static void respondJson(RoutingContext context, int statusCode, JsonObject body) {
		context.response().setStatusCode(statusCode).putHeader("Content-Type", "application/json").end(body.encode());
	}

	private record PathStage(String address, int fromLayer, int toLayer) {

	}

}
