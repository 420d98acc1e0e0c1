package org.burdocktray.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.stream.Collectors;

import org.burdocktray.standins.HttpStandIn;
import org.burdocktray.standins.gateway.EngineNetwork;
import org.burdocktray.standins.gateway.LayeredEngineStandIn;
import org.burdocktray.standins.gateway.ObjectApiStandIn;
import org.burdocktray.standins.gateway.PlainReplicaStandIn;
import org.burdocktray.standins.gateway.PlainReplicaStandIn.Answer;
import org.burdocktray.standins.gateway.PlainReplicaStandIn.Behaviour;
import org.burdocktray.standins.gateway.ReplicaEnd;
import org.burdocktray.standins.gateway.ReplicaStandIn;
import org.burdocktray.standins.network.LoopbackProxy;

/**
 * The stand-ins of one run: the metadata store with the rules, the engines, and the plain
 * replicas behind proxies. Thread safety: confined to the thread that injects the faults,
 * except that any thread may call {@link #executionCounts()} and {@link #answers()}.
 */
final class SoakPlatform implements AutoCloseable {

	/** An API key that stays valid. */
	static final String KEY = "k1";

	/** An API key that is revoked during the run. */
	static final String REVOKED_KEY = "k2";

	/** The tenant that holds the keys. */
	static final String TENANT = "acme";

	static final int EVENTS_PER_STREAM = 40;

	private static final int REPLICA_COUNT = 3;

	private static final int MIN_SILENCE_MILLIS = 500;

	private static final int MAX_SILENCE_MILLIS = 2_000;

	private static final int MAX_SILENCED_AT_ONCE = 3;

	private static final String RULES = """
			{"version":%d,"routes":[
			{"name":"draft","host":"a.example","pathPrefix":"/draft/","kind":"streaming","timeoutMs":8000,
			"targetLatencyMs":500,"priority":1,"service":"llm","maxAttempts":3,"resumable":true,"gapAimMs":200},
			{"name":"book","host":"a.example","pathPrefix":"/book/","kind":"non_idempotent","timeoutMs":2000,
			"service":"desk","maxAttempts":2},
			{"name":"check","host":"a.example","pathPrefix":"/check/","kind":"idempotent","timeoutMs":2000,
			"service":"desk","maxAttempts":2}],
			"services":[{"name":"desk","healthPath":"/health","maxConnections":50},{"name":"llm",
			"healthPath":"/health","maxConnections":50,"engine":{"slots":64,
			"tokenKvBytes":1000,"models":[{"name":"m1"}],"step_ms":1.0,"read_per_s":100000.0,"layers":10,
			"layerMb":100.0,"kinds":[{"name":"fast","mb":700.0,"pace":1.0,"readX":1.0}],
			"usual":{"prompt":50,"answer":20}}}],
			"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
			"tenants":[{"name":"acme","apiKeys":[%s],"priority":1}]}""";

	final ObjectApiStandIn store = new ObjectApiStandIn();

	private final EngineNetwork network = new EngineNetwork();

	private final List<PlainReplicaStandIn> replicas = new ArrayList<>();

	private final List<LoopbackProxy> replicaProxies = new ArrayList<>();

	private final Map<String, LayeredEngineStandIn> engines = new HashMap<>();

	private final List<PlainReplicaStandIn> allReplicas = new ArrayList<>();

	/** Written by the threads of the stand-ins. */
	private final Queue<ReplicaStandIn> endedReplicas = new ConcurrentLinkedQueue<>();

	private final List<HttpStandIn> standIns = new ArrayList<>();

	private final Map<String, String> publishedEntries = new HashMap<>();

	private final ReplicaFaults replicaFaults;

	private int rulesVersion;

	private int engineCount;

	/** Starts stand-ins whose replicas answer once and run all requests to a good end. */
	SoakPlatform() throws IOException {
		this(new ReplicaFaults(0, 0, 0, 0));
	}

	/**
	 * Starts stand-ins.
	 * @param replicaFaults what the plain replicas do wrong all the while
	 */
	SoakPlatform(ReplicaFaults replicaFaults) throws IOException {
		this.replicaFaults = replicaFaults;
		this.store.start(0);
		this.standIns.add(this.store);
		putRules(true);
		for (int index = 0; index < REPLICA_COUNT; index++) {
			this.replicas.add(null);
			this.replicaProxies.add(null);
			startReplica(index, "desk-" + index);
		}
		for (int index = 0; index < 4; index++) {
			addEngine();
		}
	}

	private void startReplica(int index, String id) throws IOException {
		PlainReplicaStandIn replica = new PlainReplicaStandIn(id);
		replica.setEnd(ReplicaEnd.EXIT, (ended, requestId) -> this.endedReplicas.add(ended));
		long replicaSeed = this.replicaFaults.seed() * REPLICA_COUNT + index;
		replica.setSecondAnswers(this.replicaFaults.secondAnswerShare(), this.replicaFaults.partialAnswerShare(),
				replicaSeed);
		replica.setFailures(this.replicaFaults.failedShare(), Long.reverse(replicaSeed));
		replica.start(0);
		LoopbackProxy proxy = new LoopbackProxy(replica.port());
		this.replicas.set(index, replica);
		this.replicaProxies.set(index, proxy);
		this.allReplicas.add(replica);
		this.standIns.add(replica);
		this.store.put("servers", id,
				replica.storeEntry("desk", "ghent", "ready").replace(replica.address(), proxy.address()));
	}

	/**
	 * Replaces the replicas that requests have ended since the last call.
	 * @return their number
	 */
	int replaceEndedReplicas() throws IOException {
		int count = 0;
		for (ReplicaStandIn ended = this.endedReplicas.poll(); ended != null; ended = this.endedReplicas.poll()) {
			count++;
			int index = this.replicas.indexOf(ended);
			this.store.remove("servers", ended.id());
			if (index >= 0) {
				this.replicaProxies.get(index).close();
				startReplica(index, ended.id() + "x");
				continue;
			}
			this.engines.remove(ended.id());
			this.publishedEntries.remove(ended.id());
			addEngine();
		}
		return count;
	}

	/**
	 * Writes the next version of the rules.
	 * @param containsRevokedKey whether the rules contain {@link #REVOKED_KEY}
	 */
	void putRules(boolean containsRevokedKey) {
		String keys = "\"" + KEY + "\"" + (containsRevokedKey ? ",\"" + REVOKED_KEY + "\"" : "");
		this.store.put("config", "main", RULES.formatted(++this.rulesVersion, keys));
	}

	/** Starts an engine without layers. */
	void addEngine() {
		String id = "engine-" + this.engineCount++;
		LayeredEngineStandIn engine = new LayeredEngineStandIn(id, this.network, EVENTS_PER_STREAM);
		engine.setEnd(ReplicaEnd.EXIT, (ended, requestId) -> this.endedReplicas.add(ended));
		engine.startAndJoin();
		this.engines.put(id, engine);
		this.standIns.add(engine);
		publishEngineEntries();
	}

	/**
	 * Makes an engine fail without closing its connections, and removes its entry.
	 * @param index the index of the engine, modulo the number of engines
	 */
	void failEngine(int index) {
		String id = List.copyOf(new TreeSet<>(this.engines.keySet())).get(index % this.engines.size());
		this.engines.remove(id).fail();
		this.publishedEntries.remove(id);
		this.store.remove("servers", id);
	}

	/**
	 * Lets sound engines and plain replicas fall silent, and go on.
	 * @param random chooses which, and for how long
	 */
	void silenceSome(Random random) {
		List<ReplicaStandIn> sound = new ArrayList<>(this.replicas);
		sound.addAll(new TreeMap<>(this.engines).values());
		sound.removeIf(ReplicaStandIn::hasStopped);
		int count = 1 + random.nextInt(MAX_SILENCED_AT_ONCE);
		for (int index = 0; index < count; index++) {
			long silenceMillis = MIN_SILENCE_MILLIS + random.nextInt(MAX_SILENCE_MILLIS - MIN_SILENCE_MILLIS);
			sound.get(random.nextInt(sound.size())).fallSilentFor(silenceMillis);
		}
	}

	boolean isAnySilent() {
		return this.replicas.stream().anyMatch(ReplicaStandIn::isSilent)
				|| this.engines.values().stream().anyMatch(ReplicaStandIn::isSilent);
	}

	/** Writes the entries of engines that have changed to the store. */
	void publishEngineEntries() {
		this.engines.forEach((id, engine) -> {
			String entry = engine.storeEntry("llm", "ghent", "fast");
			if (!entry.equals(this.publishedEntries.put(id, entry))) {
				this.store.put("servers", id, entry);
			}
		});
	}

	void setBehaviour(int index, Behaviour behaviour) {
		this.replicas.get(index % REPLICA_COUNT).setBehaviour(behaviour);
	}

	LoopbackProxy replicaProxy(int index) {
		return this.replicaProxies.get(index % REPLICA_COUNT);
	}

	/** Ends all faults of the store, the replicas and their proxies. */
	void clearFaults() {
		this.store.setUnavailable(false);
		this.store.setLosingWriteResponses(false);
		this.replicas.forEach((replica) -> replica.setBehaviour(Behaviour.RESPOND));
		this.replicaProxies.forEach((proxy) -> proxy.setMode(LoopbackProxy.Mode.PASS));
	}

	/**
	 * Returns how often each request ran at the plain replicas.
	 * @return the counts by request id
	 */
	Map<String, Long> executionCounts() {
		return this.allReplicas.stream()
			.flatMap((replica) -> List.copyOf(replica.executedRequestIds()).stream())
			.collect(Collectors.groupingBy((id) -> id, Collectors.counting()));
	}

	/**
	 * Returns what the runs at the plain replicas answered.
	 * @return the answers by signature
	 */
	Map<String, Answer> answers() {
		Map<String, Answer> answers = new HashMap<>();
		this.allReplicas.forEach((replica) -> answers.putAll(replica.answers()));
		return answers;
	}

	@Override
	public void close() throws IOException {
		for (LoopbackProxy proxy : this.replicaProxies) {
			proxy.close();
		}
		this.standIns.forEach(HttpStandIn::stop);
	}

	/**
	 * What the plain replicas do wrong all the while. Thread safety: immutable.
	 *
	 * @param secondAnswerShare the share of answers that they send twice
	 * @param partialAnswerShare the share of other answers to which they send a second
	 * one that breaks off, or whose rest follows behind the next answer
	 * @param failedShare the share of runs that fail
	 * @param seed the seed by which they draw which
	 */
	record ReplicaFaults(double secondAnswerShare, double partialAnswerShare, double failedShare, long seed) {

	}

}
