package review;

import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A stand-in for the platform's metadata store, as PROTOCOL.md tells it: objects by kind and name,
 * one revision counter, conditional writes, pages, and watches. Its answers take 4 ms.
 */
final class Store implements AutoCloseable {

	private static final int PAGE_ITEMS = 500;

	private static final int PAGE_BYTES = 1 << 20;

	private static final long ANSWER_MILLIS = 4;

	final Http.Server server;

	private record Stored(String name, long revision, long created, String spec) {

		String json() {
			return "{\"metadata\":{\"name\":" + Json.quote(this.name) + ",\"revision\":" + this.revision
					+ ",\"createRevision\":" + this.created + ",\"finalizers\":[],\"deleting\":false},\"spec\":"
					+ this.spec + ",\"status\":null}";
		}

	}

	private record Event(String kind, long at, Stored object, boolean tombstone) {

	}

	private final Map<String, TreeMap<String, Stored>> kinds = new HashMap<>();

	private final List<Event> history = new ArrayList<>();

	private final List<Http.Server> views = new ArrayList<>();

	private final Map<String, Integer> listings = new ConcurrentHashMap<>();

	private long revision = 100;

	/** Connections on which nothing comes back any more, though they stay open. */
	private final Set<Http.Connection> silent = ConcurrentHashMap.newKeySet();

	Store(String ip) throws IOException {
		this.server = new Http.Server(ip, 0, this::handle);
	}

	String address() {
		return this.server.address();
	}

	/**
	 * Opens another address of the store, for a machine that reaches the replicas through proxies.
	 * @param addresses the addresses that its answers name in place of those of the replicas
	 */
	String openView(String ip, Map<String, String> addresses) throws IOException {
		Http.Server view = new Http.Server(ip, 0, (request, connection) -> handle(request, connection, addresses));
		this.views.add(view);
		return view.address();
	}

	/** Writes an object as the operator, a replica or another writer does; returns its revision. */
	synchronized long put(String kind, String name, String spec) {
		TreeMap<String, Stored> objects = objects(kind);
		Stored old = objects.get(name);
		if (old != null && old.spec.equals(spec)) {
			return old.revision;
		}
		Stored next = new Stored(name, ++this.revision, (old != null) ? old.created : this.revision, spec);
		objects.put(name, next);
		this.history.add(new Event(kind, this.revision, next, false));
		notifyAll();
		return this.revision;
	}

	synchronized void remove(String kind, String name) {
		Stored old = objects(kind).remove(name);
		if (old != null) {
			Stored gone = new Stored(name, ++this.revision, old.created, old.spec);
			this.history.add(new Event(kind, this.revision, gone, true));
			notifyAll();
		}
	}

	/** Returns how often objects of a kind were listed. */
	int listings(String kind) {
		return this.listings.getOrDefault(kind, 0);
	}

	/** Lets all open connections go silent for good; new ones work. */
	void silenceConnections() {
		this.silent.addAll(this.server.connections);
	}

	synchronized int count(String kind) {
		return objects(kind).size();
	}

	private TreeMap<String, Stored> objects(String kind) {
		return this.kinds.computeIfAbsent(kind, (absent) -> new TreeMap<>());
	}

	private boolean handle(Http.Message request, Http.Connection connection) throws IOException, InterruptedException {
		return handle(request, connection, Map.of());
	}

	private boolean handle(Http.Message request, Http.Connection connection, Map<String, String> addresses)
			throws IOException, InterruptedException {
		Thread.sleep(ANSWER_MILLIS);
		String[] target = request.target().split("\\?", 2);
		Map<String, String> query = query((target.length > 1) ? target[1] : "");
		String[] path = target[0].substring(1).split("/", 3);
		String kind = path[1];
		String name = (path.length > 2) ? URLDecoder.decode(path[2], StandardCharsets.UTF_8) : null;
		Answer answer;
		if ("GET".equals(request.method()) && name != null) {
			answer = read(kind, name);
		}
		else if ("GET".equals(request.method()) && query.containsKey("watch")) {
			answer = watch(kind, Long.parseLong(query.get("watch")), Long.parseLong(query.getOrDefault("waitMs", "0")));
		}
		else if ("GET".equals(request.method())) {
			this.listings.merge(kind, 1, Integer::sum);
			answer = list(kind, query.getOrDefault("after", ""));
		}
		else if ("POST".equals(request.method())) {
			answer = write(kind, null, request.text());
		}
		else if ("PUT".equals(request.method())) {
			answer = write(kind, name, request.text());
		}
		else {
			answer = new Answer(404, "{}");
		}
		while (this.silent.contains(connection)) {
			Thread.sleep(1_000);
		}
		String body = answer.body;
		for (Map.Entry<String, String> address : addresses.entrySet()) {
			body = body.replace('"' + address.getKey() + '"', '"' + address.getValue() + '"');
		}
		connection.respond(answer.status, Map.of("Content-Type", "application/json", "Store-Era", "1"), body);
		return true;
	}

	private record Answer(int status, String body) {

	}

	private synchronized Answer read(String kind, String name) {
		Stored found = objects(kind).get(name);
		return (found != null) ? new Answer(200, found.json()) : new Answer(404, "{}");
	}

	private synchronized Answer list(String kind, String after) {
		StringBuilder items = new StringBuilder();
		int count = 0;
		boolean hasMore = false;
		for (Stored object : objects(kind).tailMap(after, false).values()) {
			if (count >= PAGE_ITEMS || items.length() >= PAGE_BYTES) {
				hasMore = true;
				break;
			}
			items.append((count++ > 0) ? "," : "").append(object.json());
		}
		return new Answer(200,
				"{\"items\":[" + items + "],\"hasMore\":" + hasMore + ",\"currentRev\":" + this.revision + "}");
	}

	private synchronized Answer watch(String kind, long after, long waitMillis) throws InterruptedException {
		if (after > this.revision) {
			return new Answer(410, "{}");
		}
		long endNanos = System.nanoTime() + waitMillis * 1_000_000;
		while (true) {
			StringBuilder events = new StringBuilder();
			for (Event event : this.history) {
				if (event.at > after && event.kind.equals(kind)) {
					events.append((events.length() > 0) ? "," : "")
						.append("{\"tombstone\":" + event.tombstone + ",\"object\":" + event.object.json() + "}");
				}
			}
			long leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
			if (events.length() > 0 || leftMillis <= 0) {
				return new Answer(200, "{\"events\":[" + events + "],\"currentRev\":" + this.revision + "}");
			}
			wait(leftMillis);
		}
	}

	private synchronized Answer write(String kind, String name, String body) {
		Map<String, String> fields = Json.fields(body);
		Map<String, String> metadata = Json.fields(fields.get("metadata"));
		String key = (name != null) ? name : Json.unquote(metadata.get("name"));
		Stored old = objects(kind).get(key);
		if (name == null && old != null) {
			return new Answer(409, old.json());
		}
		if (name != null && old == null) {
			return new Answer(404, "{}");
		}
		String expected = metadata.get("revision");
		if (old != null && expected != null && Long.parseLong(expected) != old.revision) {
			return new Answer(409, old.json());
		}
		put(kind, key, fields.get("spec"));
		return new Answer(200, objects(kind).get(key).json());
	}

	private static Map<String, String> query(String text) {
		Map<String, String> query = new HashMap<>();
		for (String part : text.split("&")) {
			String[] pair = part.split("=", 2);
			query.put(pair[0], (pair.length > 1) ? URLDecoder.decode(pair[1], StandardCharsets.UTF_8) : "");
		}
		return query;
	}

	@Override
	public void close() {
		this.server.close();
		this.views.forEach(Http.Server::close);
	}

}
