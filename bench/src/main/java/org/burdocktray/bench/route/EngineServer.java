package org.burdocktray.bench.route;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;

import org.burdocktray.version.bundle.Engine;

/**
 * A simulated engine with continuous batching. It holds the state of a bounded number of
 * streams and processes their ready tokens in steps of a bounded batch size. The duration
 * of a step follows from the rate of the engine, but a batch that is less than half full
 * takes as long as a half full one. Thread safety: none.
 */
final class EngineServer {

	/** Steps that process one token of each stream when all slots are occupied. */
	private static final int STEPS_FOR_ALL_STREAMS = 8;

	private static final double NANOS_PER_SECOND = 1e9;

	private final Engine engine;

	private final int maxBatchTokens;

	private final Queue<TokenStream> waitingForSlot = new ArrayDeque<>();

	private final Queue<TokenStream> ready = new ArrayDeque<>();

	private List<TokenStream> currentBatch = new ArrayList<>();

	private int residentStreams;

	EngineServer(Engine engine) {
		this.engine = engine;
		this.maxBatchTokens = Math.max(1, engine.maxConcurrentStreams() / STEPS_FOR_ALL_STREAMS);
	}

	Engine engine() {
		return this.engine;
	}

	int inFlight() {
		return this.residentStreams + this.waitingForSlot.size();
	}

	void enqueue(TokenStream stream) {
		if (stream.isResident()) {
			this.ready.add(stream);
			return;
		}
		this.waitingForSlot.add(stream);
		admitWaiting();
	}

	void releaseSlot() {
		this.residentStreams--;
		admitWaiting();
	}

	private void admitWaiting() {
		while (this.residentStreams < this.engine.maxConcurrentStreams() && !this.waitingForSlot.isEmpty()) {
			TokenStream stream = this.waitingForSlot.remove();
			stream.markResident();
			this.residentStreams++;
			this.ready.add(stream);
		}
	}

	boolean canStartStep() {
		return this.currentBatch.isEmpty() && !this.ready.isEmpty();
	}

	/**
	 * Starts a step with the ready tokens, up to the maximum batch size.
	 * @return the duration of the step in nanoseconds
	 */
	long startStep() {
		while (this.currentBatch.size() < this.maxBatchTokens && !this.ready.isEmpty()) {
			this.currentBatch.add(this.ready.remove());
		}
		double effectiveTokens = Math.max(this.currentBatch.size(), this.maxBatchTokens / 2.0);
		return Math.round(effectiveTokens / this.engine.tokensPerSecond() * NANOS_PER_SECOND);
	}

	List<TokenStream> endStep() {
		List<TokenStream> finishedBatch = this.currentBatch;
		this.currentBatch = new ArrayList<>();
		return finishedBatch;
	}

}
