import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Cases 12 and 13 on real processes: a small fleet whose machines were replaced; the store turns the
 * two VMs of a zone away that watch it, silently. Case 13: a key is taken away, and clients of the
 * third VM of the zone, which is not disturbed, go on with it. Case 12, with a second argument: two
 * replicas drain, and exit some time after the bound.
 */
public final class SharedWatchCase {

	static final long CONFIG_APPLY_MILLIS = 2_000;

	static final int ROUNDS = 5;

	static final long ROUND_MILLIS = 14_000;

	static final long TURNED_AWAY_MILLIS = 4_000;

	static final String HOST = "desk.example";

	static final Object STORE_LOCK = new Object();

	static final Map<String, TreeMap<String, String[]>> OBJECTS = new HashMap<>();

	static final List<String[]> HISTORY = new ArrayList<>();

	static long revision = 10;

	static final Set<String> TURNED_AWAY = ConcurrentHashMap.newKeySet();

	static final Map<String, Process> VMS = new ConcurrentHashMap<>();

	static final Map<String, String> IPS = new HashMap<>();

	static final Map<String, Path> LOGS = new HashMap<>();

	static final List<ServerSocket> SILENT_HOSTS = new ArrayList<>();

	static PrintWriter record;

	static Path work;

	static final long START = System.nanoTime();

	static int nextHost = 1;

	static final String NETWORK = "127." + (10 + new java.util.Random().nextInt(200)) + "."
			+ new java.util.Random().nextInt(250) + ".";

	/** The ports on which each VM listens to callers, and to the other VMs. */
	static final Map<String, Integer> CALLER_PORTS = new HashMap<>();

	static final Map<String, Integer> PEER_PORTS = new HashMap<>();

	static long configVersion;

	static final long DRAIN_MILLIS = 2_000;

	/** How much longer than the bound a replica serves before it exits. */
	static final long LONGER_MILLIS = 350;

	static final Map<String, HttpServer> REPLICAS = new ConcurrentHashMap<>();

	static final Map<String, String> ENTRIES = new ConcurrentHashMap<>();

	/** When requests reached replicas that run them, by replica. */
	static final Map<String, List<Object[]>> ARRIVALS = new ConcurrentHashMap<>();

	static int replicaCount;

	/** Whether the store answers nobody. */
	static volatile boolean away;

	/** Rises when the store comes back from a copy. */
	static volatile long era = 1;

	public static void main(String[] arguments) throws Exception {
		boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
		record = new PrintWriter(Files.newBufferedWriter(Path.of(arguments[0])), true);
		work = Files.createTempDirectory("case-12-13");
		int result = 2;
		try {
			result = run(isTrouble, arguments);
		}
		catch (Exception ex) {
			note("could not run: " + ex);
			ex.printStackTrace();
		}
		finally {
			endAll();
		}
		note("exit " + result);
		System.exit(result);
	}

	static void endAll() throws InterruptedException {
		VMS.values().forEach(Process::destroyForcibly);
		for (Process vm : VMS.values()) {
			vm.waitFor(5, TimeUnit.SECONDS);
		}
		for (File file : work.toFile().listFiles()) {
			file.delete();
		}
		work.toFile().delete();
	}

	static int run(boolean isTrouble, String[] arguments) throws Exception {
		boolean isDrain = arguments.length > 1;
		for (int index = 1; index <= (isDrain ? 8 : 3); index++) {
			startReplica("desk-" + ++replicaCount);
		}
		putConfig(0);
		List<String> gone = new ArrayList<>();
		for (int index = 1; index <= 5; index++) {
			gone.add("front-konya-depo-" + index);
			gone.add("front-kayseri-depo-" + index);
		}
		List<String> ankara = List.of("front-ankara-depo-1", "front-ankara-depo-2", "front-ankara-depo-3");
		for (String vm : gone) {
			startVm(vm);
		}
		for (String vm : ankara) {
			startVm(vm);
		}
		awaitRegistered(13);
		for (String vm : gone) {
			removeVm(vm);
		}
		for (String vm : List.of("front-konya-depo-6", "front-konya-depo-7", "front-kayseri-depo-6")) {
			startVm(vm);
		}
		awaitRegistered(16);
		note("10 machines were replaced; registered VMs: 16, running: 6");
		Thread.sleep(22_000);
		List<String> followers = ankara.stream().filter((vm) -> isFollower(vm)).toList();
		note("VMs of ankara-depo that get the store's objects from others: " + followers);
		if (followers.size() != 1) {
			note("expected one");
			return 2;
		}
		String follower = followers.get(0);
		List<String> watchers = ankara.stream().filter((vm) -> !vm.equals(follower)).toList();
		int late = 0;
		for (int round = 1; round <= ROUNDS; round++) {
			late += isDrain ? playDrain(round, follower, watchers, isTrouble)
					: playRound(round, follower, watchers, isTrouble);
		}
		if (isDrain) {
			note("requests that reached a replica more than " + DRAIN_MILLIS
					+ " ms after the acknowledgement that it drains, sent on by a machine in touch: " + late);
			return (late > 0) ? 1 : 0;
		}
		note("requests that ran with a removed key, sent more than " + CONFIG_APPLY_MILLIS
				+ " ms after the acknowledgement, at a machine in touch: " + late);
		return (late > 0) ? 1 : 0;
	}

	static int playRound(int round, String follower, List<String> watchers, boolean isTrouble) throws Exception {
		long beginNanos = System.nanoTime();
		String key = "key-" + round;
		List<long[]> answered = new ArrayList<>();
		AtomicInteger open = new AtomicInteger(4);
		long clientEnd = beginNanos + TimeUnit.MILLISECONDS.toNanos(8_000);
		for (int index = 0; index < 4; index++) {
			int client = index;
			new Thread(() -> {
				callRepeatedly(IPS.get(follower), CALLER_PORTS.get(follower), key, "r" + round + "c" + client, clientEnd, answered);
				open.decrementAndGet();
			}).start();
		}
		Thread.sleep(2_000);
		putConfig(round - 1);
		Thread.sleep(100);
		if (isTrouble) {
			TURNED_AWAY.addAll(watchers);
			note("the store turns away, silently: " + watchers);
		}
		Thread.sleep(50);
		putConfig(round);
		long ackNanos = System.nanoTime();
		note("round " + round + ": acknowledged: version " + configVersion + " takes " + key + " away");
		Thread.sleep(TURNED_AWAY_MILLIS);
		TURNED_AWAY.clear();
		while (open.get() > 0) {
			Thread.sleep(20);
		}
		int late = 0;
		long lastMillis = 0;
		synchronized (answered) {
			for (long[] answer : answered) {
				long sentMillis = TimeUnit.NANOSECONDS.toMillis(answer[0] - ackNanos);
				if (answer[1] == 200) {
					lastMillis = Math.max(lastMillis, sentMillis);
					late += (sentMillis > CONFIG_APPLY_MILLIS) ? 1 : 0;
				}
			}
			note("round " + round + ": requests=" + answered.size() + " last one that ran was sent " + lastMillis
					+ " ms after the acknowledgement, " + late + " of them late");
		}
		long restMillis = ROUND_MILLIS - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beginNanos);
		Thread.sleep(Math.max(0, restMillis));
		return late;
	}

	static int playDrain(int round, String follower, List<String> watchers, boolean isTrouble) throws Exception {
		long beginNanos = System.nanoTime();
		List<long[]> answered = new ArrayList<>();
		AtomicInteger open = new AtomicInteger(6);
		long clientEnd = beginNanos + TimeUnit.MILLISECONDS.toNanos(8_000);
		for (int index = 0; index < 6; index++) {
			int client = index;
			new Thread(() -> {
				callRepeatedly(IPS.get(follower), CALLER_PORTS.get(follower), "key-0", "d" + round + "c" + client,
						clientEnd, answered);
				open.decrementAndGet();
			}).start();
		}
		Thread.sleep(2_000);
		List<String> leaving = List.of("desk-" + (2 * round - 1), "desk-" + (2 * round));
		Map<String, Long> acknowledged = new HashMap<>();
		acknowledged.put(leaving.get(0), drain(leaving.get(0)));
		Thread.sleep(100);
		if (isTrouble) {
			TURNED_AWAY.addAll(watchers);
			note("the store turns away, silently: " + watchers);
		}
		Thread.sleep(50);
		acknowledged.put(leaving.get(1), drain(leaving.get(1)));
		note("round " + round + ": acknowledged: drain " + leaving);
		Thread.sleep(TURNED_AWAY_MILLIS);
		TURNED_AWAY.clear();
		while (open.get() > 0) {
			Thread.sleep(20);
		}
		int late = 0;
		for (String replica : leaving) {
			long last = 0;
			int lateHere = 0;
			for (Object[] arrival : List.copyOf(ARRIVALS.get(replica))) {
				long after = TimeUnit.NANOSECONDS.toMillis((long) arrival[0] - acknowledged.get(replica));
				last = Math.max(last, after);
				lateHere += (after > DRAIN_MILLIS) ? 1 : 0;
			}
			late += lateHere;
			note("round " + round + ": " + replica + ": the last request came " + last
					+ " ms after the acknowledgement, " + lateHere + " came late");
		}
		synchronized (answered) {
			note("round " + round + ": requests=" + answered.size() + " answered with 502="
					+ answered.stream().filter((answer) -> answer[1] == 502).count());
		}
		startReplica("desk-" + ++replicaCount);
		startReplica("desk-" + ++replicaCount);
		Thread.sleep(Math.max(0, ROUND_MILLIS - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beginNanos)));
		return late;
	}

	// Returns when the store has accepted it. The replica serves on for the bound and a little longer.
	static long drain(String replica) {
		put("servers", replica, ENTRIES.get(replica).replace("\"ready\"", "\"draining\""));
		long ackNanos = System.nanoTime();
		daemon(() -> {
			sleep(DRAIN_MILLIS + LONGER_MILLIS);
			REPLICAS.get(replica).stop(0);
			record.println(millis(System.nanoTime()) + " " + replica + " has exited");
			sleep(500);
			synchronized (STORE_LOCK) {
				String[] gone = OBJECTS.get("servers").remove(replica);
				HISTORY.add(new String[] { "servers", Long.toString(++revision), json(replica, gone), "gone" });
				STORE_LOCK.notifyAll();
			}
		}).start();
		return ackNanos;
	}

	// ---- clients

	static void callRepeatedly(String ip, int port, String key, String prefix, long endNanos, List<long[]> answered) {
		int number = 0;
		Socket socket = null;
		while (System.nanoTime() < endNanos) {
			String id = prefix + "n" + number++;
			try {
				if (socket == null) {
					socket = new Socket(ip, port);
					socket.setTcpNoDelay(true);
					socket.setSoTimeout(2_000);
				}
				long sentNanos = System.nanoTime();
				socket.getOutputStream()
					.write((((prefix.startsWith("d")) ? "POST /book/1 HTTP/1.1\r\nContent-Length: 0\r\nHost: "
							: "GET /check/1 HTTP/1.1\r\nHost: ") + HOST + "\r\nX-Burdocktray-Request-Id: " + id
							+ "\r\nX-Burdocktray-Deadline-Ms: 600\r\nAuthorization: Bearer " + key + "\r\n\r\n")
						.getBytes(StandardCharsets.ISO_8859_1));
				int status = readAnswer(socket.getInputStream());
				synchronized (answered) {
					answered.add(new long[] { sentNanos, status });
				}
				record.println(millis(sentNanos) + " sent " + id + " " + key + " to " + ip + ", answered " + status);
				Thread.sleep(40);
			}
			catch (IOException | InterruptedException ex) {
				record.println(millis(System.nanoTime()) + " " + id + " without an answer: " + ex);
				try {
					socket.close();
				}
				catch (IOException | RuntimeException closed) {
					// It is not used any more.
				}
				socket = null;
			}
		}
	}

	static int readAnswer(InputStream in) throws IOException {
		ByteArrayOutputStream head = new ByteArrayOutputStream();
		while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
			int next = in.read();
			if (next < 0) {
				throw new IOException("connection ended");
			}
			head.write(next);
		}
		String text = head.toString(StandardCharsets.ISO_8859_1);
		Matcher length = Pattern.compile("(?i)content-length: *(\\d+)").matcher(text);
		if (length.find()) {
			in.readNBytes(Integer.parseInt(length.group(1)));
		}
		return Integer.parseInt(text.substring(9, 12));
	}

	// ---- replicas

	static void startReplica(String id) throws IOException {
		HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 64);
		server.setExecutor(Executors.newCachedThreadPool(SharedWatchCase::daemon));
		AtomicInteger runs = new AtomicInteger();
		server.createContext("/", (exchange) -> {
			exchange.getRequestBody().readAllBytes();
			String request = exchange.getRequestHeaders().getFirst("X-Burdocktray-Request-Id");
			String target = exchange.getRequestHeaders().getFirst("X-Burdocktray-Target-Instance");
			exchange.getResponseHeaders().set("X-Burdocktray-Instance-Id", id);
			if (target != null && !target.equals(id)) {
				respond(exchange, 421, "");
				return;
			}
			if (request == null) {
				respond(exchange, "/health".equals(exchange.getRequestURI().getPath()) ? 200 : 404, "");
				return;
			}
			ARRIVALS.get(id).add(new Object[] { System.nanoTime(), request });
			sleep(request.startsWith("d") ? 60 : 15);
			record.println(millis(System.nanoTime()) + " " + id + " ran " + request);
			exchange.getResponseHeaders().set("X-Burdocktray-Request-Id", request);
			exchange.getResponseHeaders().set("X-Burdocktray-Response-Signature", id + "." + runs.incrementAndGet());
			respond(exchange, 200, "in stock");
		});
		server.start();
		REPLICAS.put(id, server);
		ARRIVALS.put(id, java.util.Collections.synchronizedList(new ArrayList<>()));
		ENTRIES.put(id,
				"{\"service\":\"desk\",\"address\":\"127.0.0.1:" + server.getAddress().getPort()
						+ "\",\"zone\":\"ankara-depo\",\"version\":1,\"slots\":6,\"state\":\"ready\",\"coldLeftMs\":0,"
						+ "\"sequence\":1,\"born\":" + System.currentTimeMillis() + "}");
		put("servers", id, ENTRIES.get(id));
	}

	// ---- the platform's store: one address for each machine, so that some can be turned away

	static int startStore(String vm) throws IOException {
		HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 64);
		server.setExecutor(Executors.newCachedThreadPool(SharedWatchCase::daemon));
		server.createContext("/objects/", (exchange) -> {
			String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
			long eraAtStart = era;
			if (TURNED_AWAY.contains(vm) || away) {
				beSilent();
			}
			String[] path = exchange.getRequestURI().getPath().substring("/objects/".length()).split("/");
			Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
			String[] answer = answer(exchange.getRequestMethod(), path, query, body);
			if (TURNED_AWAY.contains(vm) || away || era != eraAtStart) {
				beSilent();
			}
			exchange.getResponseHeaders().set("Store-Era", Long.toString(era));
			respond(exchange, Integer.parseInt(answer[0]), answer[1]);
		});
		server.start();
		return server.getAddress().getPort();
	}

	// What is not answered in time is given up by the caller; nothing comes on that connection any more.
	static void beSilent() throws IOException {
		sleep(20_000);
		throw new IOException("turned away");
	}

	static Map<String, String> query(String raw) {
		Map<String, String> values = new HashMap<>();
		for (String part : ((raw != null) ? raw : "").split("&")) {
			if (part.contains("=")) {
				values.put(part.substring(0, part.indexOf('=')), part.substring(part.indexOf('=') + 1));
			}
		}
		return values;
	}

	static String[] answer(String method, String[] path, Map<String, String> query, String body) {
		synchronized (STORE_LOCK) {
			TreeMap<String, String[]> kind = OBJECTS.computeIfAbsent(path[0], (name) -> new TreeMap<>());
			if ("GET".equals(method) && path.length > 1) {
				String[] found = kind.get(path[1]);
				return (found != null) ? new String[] { "200", json(path[1], found) } : new String[] { "404", "{}" };
			}
			if ("GET".equals(method) && Long.parseLong(query.getOrDefault("watch", "0")) > revision) {
				return new String[] { "410", "{\"currentRev\":" + revision + "}" };
			}
			if ("GET".equals(method) && query.containsKey("watch")) {
				return new String[] { "200", watch(path[0], query) };
			}
			if ("GET".equals(method)) {
				List<String> items = new ArrayList<>();
				kind.tailMap(query.getOrDefault("after", ""), false)
					.forEach((name, object) -> items.add(json(name, object)));
				return new String[] { "200", "{\"items\":[" + String.join(",", items)
						+ "],\"hasMore\":false,\"currentRev\":" + revision + "}" };
			}
			Matcher name = Pattern.compile("\"name\":\"([^\"]*)\"").matcher(body);
			Matcher expected = Pattern.compile("\"metadata\":\\{[^}]*\"revision\":(\\d+)").matcher(body);
			String spec = body.substring(body.indexOf("\"spec\":") + 7, body.length() - 1);
			String key = (path.length > 1) ? path[1] : (name.find() ? name.group(1) : "");
			String[] known = kind.get(key);
			boolean isCreate = "POST".equals(method);
			if (!isCreate && known == null) {
				return new String[] { "404", "{}" };
			}
			if ((isCreate && known != null) || (expected.find() && !expected.group(1).equals(known[0]))) {
				return new String[] { "409", json(key, known) };
			}
			put(path[0], key, spec);
			return new String[] { "200", json(key, kind.get(key)) };
		}
	}

	static String watch(String kind, Map<String, String> query) {
		long after = Long.parseLong(query.get("watch"));
		long endNanos = System.nanoTime()
				+ TimeUnit.MILLISECONDS.toNanos(Long.parseLong(query.getOrDefault("waitMs", "0")));
		while (true) {
			List<String> events = new ArrayList<>();
			for (String[] event : HISTORY) {
				if (event[0].equals(kind) && Long.parseLong(event[1]) > after) {
					events.add("{\"object\":" + event[2] + ",\"tombstone\":" + (event.length > 3) + "}");
				}
			}
			long leftMillis = TimeUnit.NANOSECONDS.toMillis(endNanos - System.nanoTime());
			if (!events.isEmpty() || leftMillis <= 0) {
				return "{\"events\":[" + String.join(",", events) + "],\"currentRev\":" + revision + "}";
			}
			try {
				STORE_LOCK.wait(leftMillis);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
	}

	static void put(String kind, String name, String spec) {
		synchronized (STORE_LOCK) {
			TreeMap<String, String[]> objects = OBJECTS.computeIfAbsent(kind, (key) -> new TreeMap<>());
			String[] known = objects.get(name);
			if (known != null && known[2].equals(spec)) {
				return;
			}
			revision++;
			String created = (known != null) ? known[1] : Long.toString(revision);
			objects.put(name, new String[] { Long.toString(revision), created, spec });
			HISTORY.add(new String[] { kind, Long.toString(revision), json(name, objects.get(name)) });
			STORE_LOCK.notifyAll();
		}
	}

	static String json(String name, String[] object) {
		return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + object[0] + ",\"createRevision\":" + object[1]
				+ ",\"finalizers\":[],\"deleting\":false},\"spec\":" + object[2] + ",\"status\":{}}";
	}

	// Keys up to the given number are taken away. Every version also changes a time-out.
	static void putConfig(int removedKeys) {
		configVersion += 3;
		List<String> keys = new ArrayList<>(List.of("\"key-0\""));
		for (int index = removedKeys + 1; index <= ROUNDS; index++) {
			keys.add("\"key-" + index + "\"");
		}
		put("config", "main", "{\"version\":" + configVersion
				+ ",\"routes\":[{\"name\":\"check\",\"host\":\"" + HOST + "\",\"pathPrefix\":\"/check/\",\"kind\":"
				+ "\"idempotent\",\"timeoutMs\":" + (600 + configVersion) + ",\"targetLatencyMs\":121,\"priority\":2,"
				+ "\"service\":\"desk\",\"maxAttempts\":2},{\"name\":\"book\",\"host\":\"" + HOST
				+ "\",\"pathPrefix\":\"/book/\",\"kind\":\"non_idempotent\",\"timeoutMs\":600,\"targetLatencyMs\":"
				+ "121,\"priority\":2,\"service\":\"desk\",\"maxAttempts\":1}],\"services\":[{\"name\":\"desk\",\"healthPath\":\"/health\","
				+ "\"maxConnections\":96}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
				+ "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"acme\",\"priority\":1,"
				+ "\"apiKeys\":[" + String.join(",", keys) + "]}]}");
	}

	// ---- machines

	static void startVm(String vm) throws IOException {
		String ip = NETWORK + nextHost++;
		IPS.put(vm, ip);
		CALLER_PORTS.put(vm, freePort(ip));
		PEER_PORTS.put(vm, freePort(ip));
		String zone = vm.substring("front-".length(), vm.lastIndexOf('-'));
		String settings = "{\"nodeName\":\"" + vm + "\",\"role\":\"gateway\",\"machineClass\":\"front\",\"serves\":"
				+ "[\"front\"],\"ip\":\"" + ip + "\",\"zone\":\"" + zone + "\",\"region\":\"anadolu\",\"zones\":"
				+ "{\"ankara-depo\":\"anadolu\",\"konya-depo\":\"anadolu\",\"kayseri-depo\":\"anadolu\"},\"listen\":"
				+ "{\"front\":\"" + ip + ":" + CALLER_PORTS.get(vm) + "\",\"ready\":\"" + ip + ":" + freePort(ip)
				+ "\"},\"internalPorts\":[" + PEER_PORTS.get(vm) + "," + (PEER_PORTS.get(vm) + 15) + "],"
				+ "\"seedNodes\":[],\"bootstrap\":false,\"lossCounts\":false,\"limits\":{\"cpuShare\":0.75,\"cpuCores\":1,"
				+ "\"memoryMb\":430,\"maxFds\":4200,\"linkMbps\":1000.0,\"diskMb\":0},\"dataDir\":null,\"discovery\":"
				+ "\"platform\",\"entry\":\"vip\",\"heartbeatMs\":1200,\"contracts\":[\"base\",\"drain\",\"config\"],"
				+ "\"faultTolerance\":{\"machines\":2,\"zones\":1,\"regions\":0},\"bounds\":{\"seedLagS\":3,"
				+ "\"reuseDelayS\":2,\"contactMs\":3000,\"ackTimeoutMs\":4000,\"catchUpS\":4,\"drainMs\":2000,"
				+ "\"graceS\":8,\"lossSlackMs\":200,\"configApplyMs\":2000,\"rollbackSlackMs\":250,\"maxSkewMs\":5000,"
				+ "\"strictRevocation\":true,\"revokeMs\":5000,\"retryBudgetRatio\":0.2,\"budgetWindowS\":10,"
				+ "\"budgetExtra\":196,\"recoveryS\":12,\"passMs\":120,\"retryAfterS\":0,\"stall_ms\":3000,"
				+ "\"fencingEnforced\":false},\"platform\":{\"address\":\"127.0.0.1:" + startStore(vm)
				+ "\",\"form\":\"objects\",\"writesPerS\":400,\"readsPerS\":2000,\"historyS\":20,\"valueBytes\":1048576,"
				+ "\"ttlMinMs\":1000}}";
		Path file = work.resolve(vm + ".json");
		Files.writeString(file, settings);
		String deploy = Files.readString(Path.of("deploy/system.toml"));
		Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
		run.find();
		ProcessBuilder builder = new ProcessBuilder(Arrays.asList(run.group(1).split(" ")));
		builder.environment().put("BURDOCKTRAY_NODE_FILE", file.toString());
		Path log = work.resolve(vm + ".log");
		LOGS.put(vm, log);
		builder.redirectErrorStream(true).redirectOutput(log.toFile());
		VMS.put(vm, builder.start());
	}

	// A machine that is removed for good: its process is gone, and its address answers nothing.
	static void removeVm(String vm) throws Exception {
		Process process = VMS.remove(vm);
		process.destroyForcibly();
		process.waitFor(5, TimeUnit.SECONDS);
		ServerSocket silent = new ServerSocket();
		silent.setReuseAddress(true);
		silent.bind(new InetSocketAddress(IPS.get(vm), PEER_PORTS.get(vm)), 64);
		SILENT_HOSTS.add(silent);
	}

	static void awaitRegistered(int count) throws Exception {
		for (int tries = 0; tries < 400; tries++) {
			synchronized (STORE_LOCK) {
				if (OBJECTS.getOrDefault("burdocktray-vms", new TreeMap<>()).size() >= count) {
					return;
				}
			}
			Thread.sleep(100);
		}
		throw new IllegalStateException("VMs have not registered");
	}

	static boolean isFollower(String vm) {
		try {
			String last = "true";
			Matcher lines = Pattern.compile("Watch of the store by this VM: watches=(true|false)")
				.matcher(Files.readString(LOGS.get(vm)));
			while (lines.find()) {
				last = lines.group(1);
			}
			return "false".equals(last);
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	// ---- helpers

	static void respond(HttpExchange exchange, int status, String text) throws IOException {
		byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
		exchange.getResponseHeaders().set("Content-Type", "application/json");
		exchange.sendResponseHeaders(status, (bytes.length == 0) ? -1 : bytes.length);
		if (bytes.length > 0) {
			exchange.getResponseBody().write(bytes);
		}
		exchange.close();
	}

	static int freePort(String ip) throws IOException {
		try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
			return probe.getLocalPort();
		}
	}

	static Thread daemon(Runnable task) {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		return thread;
	}

	static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	static long millis(long nanos) {
		return TimeUnit.NANOSECONDS.toMillis(nanos - START);
	}

	static void note(String text) {
		String line = millis(System.nanoTime()) + " " + text;
		record.println(line);
		System.out.println(line);
	}

}
