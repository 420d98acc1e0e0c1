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

	private static final int EVENT_MILLIS = 20;

	private static final int MISDIRECTED = 421;

	private static final int UNAVAILABLE = 503;

	private final String id;

	private final LayeredFleet fleet;

	private final int events;

	private final Map<String, List<Part>> paths = new HashMap<>();

	private final Map<String, Integer> runs = new ConcurrentHashMap<>();

	private volatile int from;

	private volatile int to;

	private volatile boolean dead;

	private volatile boolean mute;

	private int sequence;

	/**
	 * Creates an engine without layers.
	 * @param id its id
	 * @param fleet the engines it reaches
	 * @param events how many events an answer has
	 */
	public LayeredEngineStandIn(String id, LayeredFleet fleet, int events) {
		this.id = id;
		this.fleet = fleet;
		this.events = events;
	}

	/**
	 * Starts to listen and joins the fleet.
	 * @return this engine
	 */
	public LayeredEngineStandIn join() {
		start(0);
		this.fleet.add(this);
		return this;
	}

	/**
	 * Gives the engine layers without an order.
	 * @param firstLayer the first layer
	 * @param endLayer the layer behind the last
	 */
	public void hold(int firstLayer, int endLayer) {
		this.from = firstLayer;
		this.to = endLayer;
	}

	/** Stops working without closing connections. */
	public void die() {
		this.dead = true;
	}

	/** Makes no more events, though it reports and takes requests as if it did. */
	public void fallMute() {
		this.mute = true;
	}

	/**
	 * Returns how often a request's event passed through this engine.
	 * @param requestId the request
	 * @param event the number of the event
	 * @return the count
	 */
	public int runs(String requestId, int event) {
		return this.runs.getOrDefault(requestId + "/" + event, 0);
	}

	/**
	 * Returns what the engine registers in the store.
	 * @param service its service
	 * @param zone where it runs
	 * @param kind its accelerator
	 * @return the entry as JSON
	 */
	public String entry(String service, String zone, String kind) {
		return new JsonObject().put("service", service)
			.put("address", address())
			.put("zone", zone)
			.put("slots", 8)
			.put("state", "ready")
			.put("sequence", 1)
			.put("born", 1)
			.put("kind", kind)
			.put("layers", layers())
			.encode();
	}

	boolean holds(int firstLayer, int endLayer) {
		return this.from <= firstLayer && endLayer <= this.to;
	}

	boolean isDead() {
		return this.dead;
	}

	void noteRun(String requestId, int event) {
		this.runs.merge(requestId + "/" + event, 1, Integer::sum);
	}

	@Override
	protected void addRoutes(Router router) {
		router.route().handler((context) -> {
			if (!this.dead) {
				context.next();
			}
		});
		router.get("/report").handler(this::report);
		router.post("/order").handler(this::order);
		router.route().handler(this::run);
	}

	private void report(RoutingContext context) {
		JsonArray stalled = new JsonArray();
		this.paths.forEach((requestId, path) -> deadPart(path)
			.ifPresent((part) -> stalled.add(new JsonObject().put("id", requestId).put("address", part.address()))));
		answerJson(context, 200,
				new JsonObject().put("born", 1)
					.put("busy", false)
					.put("sequence", this.sequence)
					.put("layers", layers())
					.put("pace", 1.0)
					.put("stalled", stalled));
	}

	private void order(RoutingContext context) {
		JsonObject order = context.body().asJsonObject();
		if ("repath".equals(order.getString("operation"))) {
			boolean isKnown = this.paths.containsKey(order.getString("id"));
			if (isKnown) {
				this.paths.put(order.getString("id"), parse(order.getString("path")));
			}
			answerEmpty(context, isKnown ? 202 : 404);
			return;
		}
		if (order.getInteger("expected", this.sequence) != this.sequence) {
			answerEmpty(context, 409);
			return;
		}
		this.sequence++;
		hold(order.getInteger("from"), order.getInteger("to"));
		answerEmpty(context, 202);
	}

	private void run(RoutingContext context) {
		String target = context.request().getHeader("X-Burdocktray-Target-Instance");
		List<Part> path = parse(context.request().getHeader("X-Burdocktray-Hop-Count"));
		if (!this.id.equals(target)
				|| path.stream().anyMatch((part) -> !this.fleet.holds(part.address(), part.from(), part.to()))) {
			context.response().setStatusCode(MISDIRECTED).putHeader("X-Burdocktray-Not-Executed", "1").end();
			return;
		}
		Optional<Part> deadPart = deadPart(path);
		if (deadPart.isPresent()) {
			context.response()
				.setStatusCode(UNAVAILABLE)
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
		step(response, requestId, (last != null) ? Integer.parseInt(last) + 1 : 1);
	}

	private void step(HttpServerResponse response, String requestId, int event) {
		List<Part> path = this.paths.get(requestId);
		if (response.closed() || this.dead || this.mute || path == null) {
			return;
		}
		if (event > this.events) {
			this.paths.remove(requestId);
			response.end();
			return;
		}
		boolean isStalled = deadPart(path).isPresent();
		if (!isStalled) {
			path.forEach((part) -> this.fleet.ran(part.address(), requestId, event));
			response.write("id: " + event + "\ndata: " + requestId + "-" + event + "\n\n");
		}
		after(EVENT_MILLIS, () -> step(response, requestId, isStalled ? event : event + 1));
	}

	private Optional<Part> deadPart(List<Part> path) {
		return path.stream().filter((part) -> this.fleet.isDead(part.address())).findFirst();
	}

	private JsonObject layers() {
		return (this.to > this.from) ? new JsonObject().put("from", this.from).put("to", this.to) : null;
	}

	private static List<Part> parse(String header) {
		List<Part> parts = new ArrayList<>();
		for (String text : header.split(",")) {
			String[] range = text.substring(text.indexOf('=') + 1).split("-");
			parts.add(new Part(text.substring(0, text.indexOf('=')), Integer.parseInt(range[0]),
					Integer.parseInt(range[1])));
		}
		return parts;
	}

	private static void answerJson(RoutingContext context, int statusCode, JsonObject body) {
		context.response().setStatusCode(statusCode).putHeader("Content-Type", "application/json").end(body.encode());
	}

	private record Part(String address, int from, int to) {

	}

}
