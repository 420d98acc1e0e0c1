package org.burdocktray.standins.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.function.BiConsumer;

import io.vertx.core.json.Json;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import org.burdocktray.standins.HttpStandIn;

/**
 * A stand-in for the platform's metadata store: objects by kind and name with a common
 * revision counter, conditional writes and long-polling watches. A write that does not
 * change the object creates no new revision. It may return from a copy, which begins an
 * era; all answers tell the era. Thread safety: see {@link HttpStandIn}.
 */
public final class ObjectApiStandIn extends HttpStandIn {

	private static final int POLL_INTERVAL_MILLIS = 10;

	private static final String ERA_AT_START = "eraAtStart";

	private static final int NOT_FOUND = 404;

	private static final int CONFLICT = 409;

	private static final int GONE = 410;

	private static final int SERVICE_UNAVAILABLE = 503;

	private final Map<String, NavigableMap<String, JsonObject>> objectsByKind = new TreeMap<>();

	private final List<JsonObject> history = new ArrayList<>();

	private long revision = 1;

	private long era = 1;

	private Copy copy = new Copy(Map.of(), 1);

	private volatile boolean silent;

	private long discardedUpToRevision;

	private volatile boolean unavailable;

	private volatile boolean losingWriteResponses;

	private volatile int pageSize = Integer.MAX_VALUE;

	private volatile BiConsumer<String, String> pageListener = (kind, after) -> {
	};

	/**
	 * Creates or replaces an object, as an operator or a replica does.
	 * @param kind the kind of the object
	 * @param name the name of the object
	 * @param spec the content of the object as JSON
	 */
	public void put(String kind, String name, String spec) {
		runOnEventLoop(() -> store(kind, name, Json.decodeValue(spec)));
	}

	/**
	 * Removes an object.
	 * @param kind the kind of the object
	 * @param name the name of the object
	 */
	public void remove(String kind, String name) {
		runOnEventLoop(() -> {
			JsonObject removed = objects(kind).remove(name);
			if (removed != null) {
				this.history.add(event(kind, removed, ++this.revision, true));
			}
		});
	}

	/** Keeps a copy of the present state. */
	public void keepCopy() {
		runOnEventLoop(() -> {
			Map<String, NavigableMap<String, JsonObject>> objects = new TreeMap<>();
			this.objectsByKind.forEach((kind, stored) -> objects.put(kind, new TreeMap<>(stored)));
			this.copy = new Copy(objects, this.revision);
		});
	}

	/** Falls silent: no call gets an answer, also those in progress. */
	public void leave() {
		this.silent = true;
	}

	/** Answers again from the copy that was kept, in the next era. */
	public void returnFromCopy() {
		runOnEventLoop(() -> {
			this.objectsByKind.clear();
			this.copy.objects().forEach((kind, stored) -> this.objectsByKind.put(kind, new TreeMap<>(stored)));
			this.history.removeIf((event) -> event.getLong("at") > this.copy.revision());
			this.revision = this.copy.revision();
			this.era++;
			this.silent = false;
		});
	}

	/**
	 * Sets whether all calls are rejected.
	 * @param isUnavailable whether calls get a {@code 503} response
	 */
	public void setUnavailable(boolean isUnavailable) {
		this.unavailable = isUnavailable;
	}

	/**
	 * Sets how listings are divided.
	 * @param objects the number of objects of a page
	 * @param listener is told of each page that was read, before it is sent, with the
	 * kind and the name behind which the page begins, which is empty for the first page
	 */
	public void setPages(int objects, BiConsumer<String, String> listener) {
		this.pageSize = objects;
		this.pageListener = listener;
	}

	/**
	 * Sets whether the connection of a write is closed after the write is executed.
	 * @param isLosing whether the responses to writes are lost
	 */
	public void setLosingWriteResponses(boolean isLosing) {
		this.losingWriteResponses = isLosing;
	}

	/**
	 * Discards the history, so that watches from earlier revisions get a 410 response.
	 */
	public void discardHistory() {
		runOnEventLoop(() -> this.discardedUpToRevision = this.revision);
	}

	@Override
	protected void addRoutes(Router router) {
		router.route().handler((context) -> {
			context.put(ERA_AT_START, this.era);
			context.response().putHeader("Store-Era", Long.toString(this.era));
			if (isSilentFor(context)) {
				return;
			}
			if (this.unavailable) {
				respondEmpty(context, SERVICE_UNAVAILABLE);
				return;
			}
			context.next();
		});
		router.get("/objects/:kind").handler(this::listOrWatch);
		router.get("/objects/:kind/:name").handler(this::read);
		router.post("/objects/:kind").handler(this::create);
		router.put("/objects/:kind/:name").handler(this::replace);
	}

	private boolean isSilentFor(RoutingContext context) {
		return this.silent || !Long.valueOf(this.era).equals(context.get(ERA_AT_START));
	}

	private void listOrWatch(RoutingContext context) {
		String watch = context.request().getParam("watch");
		if (watch == null) {
			list(context, context.pathParam("kind"), context.request().getParam("after", ""));
			return;
		}
		long waitMillis = Long.parseLong(context.request().getParam("waitMs"));
		watch(context, context.pathParam("kind"), Long.parseLong(watch), waitMillis);
	}

	private void list(RoutingContext context, String kind, String after) {
		List<JsonObject> rest = new ArrayList<>(objects(kind).tailMap(after, false).values());
		boolean hasMore = rest.size() > this.pageSize;
		JsonArray items = new JsonArray(hasMore ? rest.subList(0, this.pageSize) : rest);
		JsonObject page = new JsonObject().put("items", items).put("hasMore", hasMore).put("currentRev", this.revision);
		this.pageListener.accept(kind, after);
		respondJson(context, 200, page);
	}

	private void watch(RoutingContext context, String kind, long afterRevision, long waitMillis) {
		if (isSilentFor(context)) {
			return;
		}
		if (this.unavailable) {
			closeConnection(context);
			return;
		}
		if (afterRevision > this.revision || afterRevision < this.discardedUpToRevision) {
			respondJson(context, GONE, new JsonObject().put("currentRev", this.revision));
			return;
		}
		JsonArray events = new JsonArray();
		this.history.stream()
			.filter((event) -> event.getString("kind").equals(kind) && event.getLong("at") > afterRevision)
			.map((event) -> event.getJsonObject("event"))
			.forEach(events::add);
		if (events.isEmpty() && waitMillis > 0) {
			runAfter(POLL_INTERVAL_MILLIS,
					() -> watch(context, kind, afterRevision, waitMillis - POLL_INTERVAL_MILLIS));
			return;
		}
		respondJson(context, 200, new JsonObject().put("events", events).put("currentRev", this.revision));
	}

	private void read(RoutingContext context) {
		JsonObject object = objects(context.pathParam("kind")).get(context.pathParam("name"));
		if (object == null) {
			respondEmpty(context, NOT_FOUND);
			return;
		}
		respondJson(context, 200, object);
	}

	private void create(RoutingContext context) {
		JsonObject body = context.body().asJsonObject();
		String name = body.getJsonObject("metadata").getString("name");
		JsonObject existing = objects(context.pathParam("kind")).get(name);
		if (existing != null) {
			respondJson(context, CONFLICT, existing);
			return;
		}
		finishWrite(context, store(context.pathParam("kind"), name, body.getValue("spec")));
	}

	private void replace(RoutingContext context) {
		JsonObject body = context.body().asJsonObject();
		JsonObject existing = objects(context.pathParam("kind")).get(context.pathParam("name"));
		if (existing == null) {
			respondEmpty(context, NOT_FOUND);
			return;
		}
		Long expected = body.getJsonObject("metadata").getLong("revision");
		if (expected != null && !expected.equals(existing.getJsonObject("metadata").getLong("revision"))) {
			respondJson(context, CONFLICT, existing);
			return;
		}
		finishWrite(context, store(context.pathParam("kind"), context.pathParam("name"), body.getValue("spec")));
	}

	private void finishWrite(RoutingContext context, JsonObject object) {
		if (this.losingWriteResponses) {
			closeConnection(context);
			return;
		}
		respondJson(context, 200, object);
	}

	private JsonObject store(String kind, String name, Object spec) {
		JsonObject existing = objects(kind).get(name);
		if (existing != null && existing.getValue("spec").equals(spec)) {
			return existing;
		}
		JsonObject object = new JsonObject()
			.put("metadata", new JsonObject().put("name", name).put("revision", ++this.revision))
			.put("spec", spec);
		objects(kind).put(name, object);
		this.history.add(event(kind, object, this.revision, false));
		return object;
	}

	private NavigableMap<String, JsonObject> objects(String kind) {
		return this.objectsByKind.computeIfAbsent(kind, (absentKind) -> new TreeMap<>());
	}

	private static JsonObject event(String kind, JsonObject object, long revision, boolean isRemoval) {
		return new JsonObject().put("kind", kind)
			.put("at", revision)
			.put("event", new JsonObject().put("tombstone", isRemoval).put("object", object));
	}

	private void respondJson(RoutingContext context, int statusCode, JsonObject body) {
		if (isSilentFor(context)) {
			return;
		}
		if (!context.response().ended() && !context.response().closed()) {
			context.response()
				.setStatusCode(statusCode)
				.putHeader("Content-Type", "application/json")
				.end(body.encode());
		}
	}

	/**
	 * A state of the store.
	 *
	 * @param objects the objects by kind and name
	 * @param revision the revision
	 */
	private record Copy(Map<String, NavigableMap<String, JsonObject>> objects, long revision) {

	}

}
