package org.burdocktray.process.directory;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * The load and health of replicas as this VM knows them: what it has sent itself, what
 * engines last reported, and which replicas failed lately. Thread safety: none, confined
 * to one event loop.
 */
public final class ReplicaLoads {

	private static final double NO_SLOWNESS = 1.0;

	private static final long FIRST_REJECTION_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	/** A request that was sent longer ago than this shows in a report that comes now. */
	private static final long REPORT_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private static final int MAX_DOUBLINGS = 4;

	private final Map<String, State> states = new HashMap<>();

	/**
	 * Notes that a request was sent.
	 * @param replica the replica
	 * @param tokenLayers the KV cache that the request takes there
	 * @param nowNanos the time
	 */
	public void recordSend(Replica replica, long tokenLayers, long nowNanos) {
		State state = state(replica);
		state.inFlight++;
		state.ownTokenLayers += tokenLayers;
		state.recent.addLast(new Sent(nowNanos, tokenLayers));
	}

	/**
	 * Notes that a request ended.
	 * @param replica the replica
	 * @param tokenLayers what was given to {@link #recordSend}
	 */
	public void recordEnd(Replica replica, long tokenLayers) {
		State state = state(replica);
		state.inFlight = Math.max(0, state.inFlight - 1);
		state.ownTokenLayers = Math.max(0, state.ownTokenLayers - tokenLayers);
		state.recent.stream()
			.filter((sent) -> sent.tokenLayers() == tokenLayers)
			.findFirst()
			.ifPresent(state.recent::remove);
	}

	/**
	 * Takes in a report.
	 * @param replica the replica
	 * @param report the report
	 * @param nowNanos the time
	 */
	public void recordReport(Replica replica, LoadReport report, long nowNanos) {
		State state = state(replica);
		state.report = Optional.of(report);
		while (!state.recent.isEmpty() && nowNanos - state.recent.peekFirst().atNanos() > REPORT_AGE_NANOS) {
			state.recent.removeFirst();
		}
	}

	/**
	 * Avoids a replica for a while.
	 * @param replica the replica
	 * @param untilNanos until when
	 */
	public void avoid(Replica replica, long untilNanos) {
		State state = state(replica);
		state.avoidUntilNanos = state.avoided ? Math.max(state.avoidUntilNanos, untilNanos) : untilNanos;
		state.avoided = true;
	}

	/**
	 * Avoids a replica that turned a request away, for longer each time in a row.
	 * @param replica the replica
	 * @param nowNanos the time
	 */
	public void recordRejection(Replica replica, long nowNanos) {
		State state = state(replica);
		int doublings = Math.min(state.rejectionsInARow, MAX_DOUBLINGS);
		state.rejectionsInARow++;
		avoid(replica, nowNanos + (FIRST_REJECTION_NANOS << doublings));
	}

	/**
	 * Notes a failure by the replica's fault.
	 * @param replica the replica
	 * @return the failures in a row, 1 or more
	 */
	public int recordFailure(Replica replica) {
		return ++state(replica).failuresInARow;
	}

	/**
	 * Notes that a replica did its work.
	 * @param replica the replica
	 */
	public void recordSuccess(Replica replica) {
		State state = state(replica);
		state.failuresInARow = 0;
		state.rejectionsInARow = 0;
		state.avoided = false;
	}

	/**
	 * Tells whether a replica is avoided.
	 * @param replica the replica
	 * @param nowNanos the time
	 * @return whether it failed lately
	 */
	public boolean isAvoided(Replica replica, long nowNanos) {
		State state = state(replica);
		return state.avoided && nowNanos - state.avoidUntilNanos < 0;
	}

	/**
	 * Returns the requests of this VM at a replica.
	 * @param replica the replica
	 * @return the number
	 */
	public int inFlight(Replica replica) {
		return state(replica).inFlight;
	}

	/**
	 * Estimates the requests of all VMs at an engine.
	 * @param replica the engine
	 * @return the number
	 */
	public int sequences(Replica replica) {
		State state = state(replica);
		int reported = state.report.map((report) -> report.running() + report.queued()).orElse(0);
		return Math.max(state.inFlight, reported);
	}

	/**
	 * Estimates the KV cache in use at an engine.
	 * @param replica the engine
	 * @return tokens times layers
	 */
	public long kvUsed(Replica replica) {
		State state = state(replica);
		long reported = state.report.map(LoadReport::kvUsed).orElse(0L);
		return Math.max(state.ownTokenLayers, reported + state.recent.stream().mapToLong(Sent::tokenLayers).sum());
	}

	/**
	 * Returns how many times as long an engine's work takes as its kind's.
	 * @param replica the engine
	 * @return 1 unless it reports otherwise
	 */
	public double slowdownFactor(Replica replica) {
		return state(replica).report.map(LoadReport::slowdownFactor).orElse(NO_SLOWNESS);
	}

	/**
	 * Forgets replicas that are no longer listed.
	 * @param isListed tells which are listed
	 */
	public void retainListed(Predicate<String> isListed) {
		this.states.entrySet().removeIf((entry) -> entry.getValue().inFlight == 0 && !isListed.test(entry.getKey()));
	}

	private State state(Replica replica) {
		State state = this.states.get(replica.id());
		if (state == null || state.bornMillis != replica.startedAtMillis()) {
			state = new State(replica.startedAtMillis());
			this.states.put(replica.id(), state);
		}
		return state;
	}

	private static final class State {

		private final long bornMillis;

		private int inFlight;

		private long ownTokenLayers;

		private final Deque<Sent> recent = new ArrayDeque<>();

		private Optional<LoadReport> report = Optional.empty();

		private boolean avoided;

		private long avoidUntilNanos;

		private int failuresInARow;

		private int rejectionsInARow;

		State(long bornMillis) {
			this.bornMillis = bornMillis;
		}

	}

	private record Sent(long atNanos, long tokenLayers) {

	}

}
