package org.burdocktray.process.directory;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * The load and health of replicas from the view of this VM: the requests that it sent,
 * the latest reports of engines, and recent failures. The state of a replica is reset
 * when it restarts. Thread safety: none, confined to one event loop.
 */
public final class ReplicaLoads {

	private static final double DEFAULT_SLOWDOWN = 1.0;

	private static final long INITIAL_REJECTION_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	/** Reports older than this say nothing about the queue of an engine. */
	private static final long MAX_QUEUE_AGE_NANOS = TimeUnit.SECONDS.toNanos(3);

	/** A request sent longer ago than this is included in a report received now. */
	private static final long MAX_REPORT_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private static final int MAX_BACKOFF_DOUBLINGS = 4;

	private final Map<String, State> states = new HashMap<>();

	/**
	 * Records that a request was sent.
	 * @param replica the replica
	 * @param tokenLayers the KV cache that the request occupies, in tokens times layers
	 * @param nowNanos the current time of the monotonic clock
	 */
	public void recordSend(Replica replica, long tokenLayers, long nowNanos) {
		State state = state(replica);
		state.inFlight++;
		state.ownTokenLayers += tokenLayers;
		state.recentlySent.addLast(new SentRequest(nowNanos, tokenLayers));
	}

	/**
	 * Records that a request ended.
	 * @param replica the replica
	 * @param tokenLayers the value that was passed to {@link #recordSend}
	 */
	public void recordEnd(Replica replica, long tokenLayers) {
		State state = state(replica);
		state.inFlight = Math.max(0, state.inFlight - 1);
		state.ownTokenLayers = Math.max(0, state.ownTokenLayers - tokenLayers);
		state.recentlySent.stream()
			.filter((sent) -> sent.tokenLayers() == tokenLayers)
			.findFirst()
			.ifPresent(state.recentlySent::remove);
	}

	/**
	 * Records a load report.
	 * @param replica the engine
	 * @param report the received report
	 * @param nowNanos the current time of the monotonic clock
	 */
	public void recordReport(Replica replica, LoadReport report, long nowNanos) {
		State state = state(replica);
		state.report = Optional.of(report);
		state.reportedNanos = nowNanos;
		state.silent = false;
		while (!state.recentlySent.isEmpty()
				&& nowNanos - state.recentlySent.peekFirst().sentNanos() > MAX_REPORT_AGE_NANOS) {
			state.recentlySent.removeFirst();
		}
	}

	/**
	 * Excludes a replica from selection for some time. An earlier exclusion is never
	 * shortened.
	 * @param replica the replica
	 * @param untilNanos the end of the exclusion, by the monotonic clock
	 */
	public void avoid(Replica replica, long untilNanos) {
		State state = state(replica);
		state.avoidedUntilNanos = state.avoided ? Math.max(state.avoidedUntilNanos, untilNanos) : untilNanos;
		state.avoided = true;
	}

	/**
	 * Excludes a replica that did not respond from selection for some time. A report or a
	 * successful request ends the exclusion: a sound replica may be silent for a moment.
	 * @param replica the replica
	 * @param untilNanos the end of the exclusion, by the monotonic clock
	 */
	public void avoidSilent(Replica replica, long untilNanos) {
		State state = state(replica);
		state.silentUntilNanos = state.silent ? Math.max(state.silentUntilNanos, untilNanos) : untilNanos;
		state.silent = true;
	}

	/**
	 * Ends the exclusion of a replica for its silence, which was an error.
	 * @param replicaId the id of the replica
	 */
	public void endSilence(String replicaId) {
		State state = this.states.get(replicaId);
		if (state != null) {
			state.silent = false;
		}
	}

	/**
	 * Records that a replica rejected a request and excludes it from selection. The time
	 * doubles with each consecutive rejection, up to a limit.
	 * @param replica the replica
	 * @param nowNanos the current time of the monotonic clock
	 */
	public void recordRejection(Replica replica, long nowNanos) {
		State state = state(replica);
		int doublings = Math.min(state.consecutiveRejections, MAX_BACKOFF_DOUBLINGS);
		state.consecutiveRejections++;
		avoid(replica, nowNanos + (INITIAL_REJECTION_BACKOFF_NANOS << doublings));
	}

	/**
	 * Records a failure that the replica caused.
	 * @param replica the replica
	 * @return the number of consecutive failures, 1 or more
	 */
	public int recordFailure(Replica replica) {
		return ++state(replica).consecutiveFailures;
	}

	/**
	 * Records a successful request. Resets failures, rejections and exclusion.
	 * @param replica the replica
	 */
	public void recordSuccess(Replica replica) {
		State state = state(replica);
		state.consecutiveFailures = 0;
		state.consecutiveRejections = 0;
		state.avoided = false;
		state.silent = false;
	}

	/**
	 * Ends all exclusions and forgets the failures. Used when this VM was cut off, so
	 * that the failures were not those of replicas.
	 */
	public void forgetFailures() {
		this.states.values().forEach((state) -> {
			state.avoided = false;
			state.silent = false;
			state.consecutiveFailures = 0;
		});
	}

	/**
	 * Returns whether a replica is excluded from selection.
	 * @param replica the replica
	 * @param nowNanos the current time of the monotonic clock
	 * @return true after a recent failure, rejection or silence
	 */
	public boolean isAvoided(Replica replica, long nowNanos) {
		State state = state(replica);
		return isSilent(replica, nowNanos) || (state.avoided && nowNanos - state.avoidedUntilNanos < 0);
	}

	/**
	 * Returns the number of requests of this VM in flight at a replica.
	 * @param replica the replica
	 * @return 0 or more
	 */
	public int inFlight(Replica replica) {
		return state(replica).inFlight;
	}

	/**
	 * Estimates the number of requests of all VMs at an engine.
	 * @param replica the engine
	 * @return 0 or more, at least the requests of this VM
	 */
	public int sequences(Replica replica) {
		State state = state(replica);
		int reported = state.report.map((report) -> report.running() + report.queued()).orElse(0);
		return Math.max(state.inFlight, reported);
	}

	/**
	 * Estimates the number of requests of all VMs at an engine, including those that this
	 * VM has sent since the latest report.
	 * @param replica the engine
	 * @return 0 or more
	 */
	public int sequencesSinceReport(Replica replica) {
		State state = state(replica);
		int reported = state.report.map((report) -> report.running() + report.queued()).orElse(0);
		return Math.max(state.inFlight, reported + state.recentlySent.size());
	}

	/**
	 * Returns the number of requests that waited at an engine when it last reported.
	 * @param replica the engine
	 * @return 0 or more
	 */
	public int queued(Replica replica) {
		return state(replica).report.map(LoadReport::queued).orElse(0);
	}

	/**
	 * Estimates the number of prompts that an engine has not begun to read.
	 * @param replica the engine
	 * @param nowNanos the current time of the monotonic clock
	 * @return those of a recent report, and the requests that this VM has sent since
	 */
	public int pendingPrompts(Replica replica, long nowNanos) {
		State state = state(replica);
		int queued = state.report.filter((report) -> nowNanos - state.reportedNanos <= MAX_QUEUE_AGE_NANOS)
			.map(LoadReport::queued)
			.orElse(0);
		long sent = state.recentlySent.stream()
			.filter((request) -> nowNanos - request.sentNanos() <= MAX_REPORT_AGE_NANOS)
			.count();
		return queued + (int) sent;
	}

	/**
	 * Returns whether a replica is excluded from selection because it did not respond.
	 * @param replica the replica
	 * @param nowNanos the current time of the monotonic clock
	 * @return false also for replicas that are excluded for rejections
	 */
	public boolean isSilent(Replica replica, long nowNanos) {
		State state = state(replica);
		return state.silent && nowNanos - state.silentUntilNanos < 0;
	}

	/**
	 * Estimates the KV cache in use at an engine.
	 * @param replica the engine
	 * @return the used cache in tokens times layers
	 */
	public long kvUsed(Replica replica) {
		State state = state(replica);
		long reported = state.report.map(LoadReport::kvUsed).orElse(0L);
		return Math.max(state.ownTokenLayers,
				reported + state.recentlySent.stream().mapToLong(SentRequest::tokenLayers).sum());
	}

	/**
	 * Returns the factor by which an engine is slower than its accelerator kind.
	 * @param replica the engine
	 * @return the reported factor, 1 without a report
	 */
	public double slowdownFactor(Replica replica) {
		return state(replica).report.map(LoadReport::slowdownFactor).orElse(DEFAULT_SLOWDOWN);
	}

	/**
	 * Drops the state of replicas that are no longer listed and have no request in
	 * flight.
	 * @param isListed whether the replica with an id is listed
	 */
	public void retainListed(Predicate<String> isListed) {
		this.states.entrySet().removeIf((entry) -> entry.getValue().inFlight == 0 && !isListed.test(entry.getKey()));
	}

	private State state(Replica replica) {
		State state = this.states.get(replica.id());
		if (state == null || state.startedAtMillis != replica.startedAtMillis()) {
			state = new State(replica.startedAtMillis());
			this.states.put(replica.id(), state);
		}
		return state;
	}

	private static final class State {

		private final long startedAtMillis;

		private int inFlight;

		private long ownTokenLayers;

		private final Deque<SentRequest> recentlySent = new ArrayDeque<>();

		private Optional<LoadReport> report = Optional.empty();

		private long reportedNanos;

		private boolean avoided;

		private long avoidedUntilNanos;

		private boolean silent;

		private long silentUntilNanos;

		private int consecutiveFailures;

		private int consecutiveRejections;

		State(long startedAtMillis) {
			this.startedAtMillis = startedAtMillis;
		}

	}

	private record SentRequest(long sentNanos, long tokenLayers) {

	}

}
