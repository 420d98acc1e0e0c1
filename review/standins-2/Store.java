import java.io.IOException;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's metadata store, as its page describes it: objects by kind and name, one
 * revision, conditional writes, listings in pages, and watches that wait.
 */
final class Store extends HttpServer {

	private static final long ANSWER_MILLIS = 4;

	private final Map<String, TreeMap<String, Map<String, Object>>> objects = new HashMap<>();

	private final List<Event> events = new ArrayList<>();

	private final int pageSize;

	private long revision = 100;

	/** How long a watch waits before the store cuts it off; 0 for never. */
	private volatile long watchCutMillis;

	private volatile PageListener pageListener = (kind, after) -> {
	};

	Store(String ip, int pageSize) throws IOException {
		super(ip);
		this.pageSize = pageSize;
	}

	private record Event(long revision, String kind, Map<String, Object> object, boolean tombstone) {

	}

	/** Is told of each page of a listing that has been read, before it is sent. */
	interface PageListener {

		void onPage(String kind, String after) throws InterruptedException;

	}

	void cutWatchesAfter(long millis) {
		this.watchCutMillis = millis;
	}

	void setPageListener(PageListener listener) {
		this.pageListener = listener;
	}

	/** Writes an object as the operator or a replica does; returning is the acknowledgement. */
	synchronized void put(String kind, String name, Object spec) {
		Map<String, Object> known = kind(kind).get(name);
		if (known != null && known.get("spec").equals(spec)) {
			return;
		}
		store(kind, name, spec, known);
	}

	synchronized void remove(String kind, String name) {
		Map<String, Object> removed = kind(kind).remove(name);
		if (removed != null) {
			this.events.add(new Event(++this.revision, kind, removed, true));
			notifyAll();
		}
	}

	private TreeMap<String, Map<String, Object>> kind(String kind) {
		return this.objects.computeIfAbsent(kind, (absent) -> new TreeMap<>());
	}

	private Map<String, Object> store(String kind, String name, Object spec, Map<String, Object> known) {
		this.revision++;
		Object created = (known != null) ? metadata(known).get("createRevision") : (Object) this.revision;
		Map<String, Object> object = Json.object("metadata",
				Json.object("name", name, "revision", this.revision, "createRevision", created, "finalizers",
						List.of(), "deleting", false),
				"spec", spec, "status", null);
		kind(kind).put(name, object);
		this.events.add(new Event(this.revision, kind, object, false));
		notifyAll();
		return object;
	}

	@SuppressWarnings("unchecked")
	private static Map<String, Object> metadata(Map<String, Object> object) {
		return (Map<String, Object>) object.get("metadata");
	}

	@Override
	byte[] handle(Http.Message request, Socket socket) throws InterruptedException {
		Thread.sleep(ANSWER_MILLIS);
		String target = request.target();
		int question = target.indexOf('?');
		String[] path = ((question < 0) ? target : target.substring(0, question)).split("/");
		Map<String, String> query = query((question < 0) ? "" : target.substring(question + 1));
		String kind = path[2];
		String name = (path.length > 3) ? decode(path[3]) : null;
		return switch (request.method()) {
			case "GET" -> {
				if (name != null) {
					yield read(kind, name);
				}
				yield query.containsKey("watch") ? watch(kind, query, socket) : list(kind, query);
			}
			case "POST" -> write(kind, Json.parseObject(request.text()), true);
			case "PUT" -> write(kind, Json.parseObject(request.text()), false);
			default -> Http.response(404, Map.of(), new byte[0]);
		};
	}

	private static Map<String, String> query(String text) {
		Map<String, String> result = new HashMap<>();
		for (String pair : text.split("&")) {
			int equals = pair.indexOf('=');
			if (equals > 0) {
				result.put(pair.substring(0, equals), decode(pair.substring(equals + 1)));
			}
		}
		return result;
	}

	private static String decode(String text) {
		return URLDecoder.decode(text, StandardCharsets.UTF_8);
	}

	private synchronized byte[] read(String kind, String name) {
		Map<String, Object> object = kind(kind).get(name);
		return (object != null) ? json(200, object) : json(404, Json.object());
	}

	private byte[] list(String kind, Map<String, String> query) throws InterruptedException {
		byte[] page = page(kind, query.get("after"));
		this.pageListener.onPage(kind, query.get("after"));
		return page;
	}

	private synchronized byte[] page(String kind, String after) {
		TreeMap<String, Map<String, Object>> all = kind(kind);
		List<Map<String, Object>> rest = new ArrayList<>(
				((after != null) ? all.tailMap(after, false) : all).values());
		boolean hasMore = rest.size() > this.pageSize;
		return json(200, Json.object("items", hasMore ? rest.subList(0, this.pageSize) : rest, "hasMore", hasMore,
				"currentRev", this.revision));
	}

	private synchronized byte[] watch(String kind, Map<String, String> query, Socket socket)
			throws InterruptedException {
		long after = Long.parseLong(query.get("watch"));
		long startNanos = System.nanoTime();
		long waitMillis = Long.parseLong(query.getOrDefault("waitMs", "0"));
		while (true) {
			List<Object> found = new ArrayList<>();
			for (Event event : this.events) {
				if (event.kind().equals(kind) && event.revision() > after) {
					found.add(Json.object("object", event.object(), "tombstone", event.tombstone()));
				}
			}
			long waitedMillis = (System.nanoTime() - startNanos) / 1_000_000;
			if (!found.isEmpty() || waitedMillis >= waitMillis) {
				return json(200, Json.object("events", found, "currentRev", this.revision));
			}
			long cutMillis = this.watchCutMillis;
			if (cutMillis > 0 && waitedMillis >= cutMillis) {
				return HttpServer.CLOSE;
			}
			wait(Math.min(20, waitMillis - waitedMillis));
		}
	}

	private synchronized byte[] write(String kind, Map<String, Object> body, boolean isNew) {
		String name = (String) metadata(body).get("name");
		Object expected = metadata(body).get("revision");
		Map<String, Object> known = kind(kind).get(name);
		if (isNew ? known != null : (known != null && expected != null
				&& !expected.equals(metadata(known).get("revision")))) {
			return json(409, known);
		}
		if (!isNew && known == null) {
			return json(404, Json.object());
		}
		if (known != null && known.get("spec").equals(body.get("spec"))) {
			return json(200, known);
		}
		return json(200, store(kind, name, body.get("spec"), known));
	}

	private static byte[] json(int status, Object body) {
		return Http.response(status, Map.of("Content-Type", "application/json"),
				Json.write(body).getBytes(StandardCharsets.UTF_8));
	}

}
