package org.burdocktray.request.stream;

import java.util.ArrayList;
import java.util.List;

import org.burdocktray.connection.engine.EngineEvent;
import org.burdocktray.request.route.PipelineRoute;

/**
 * An attempt without progress that has been superseded, but can be resumed until its
 * successor reaches the engines. Its events are held meanwhile, because a stage that it
 * shares with its successor may already have dropped it. Thread safety: confined to one
 * session.
 */
final class SilentAttempt {

	private final int attempt;

	private final PipelineRoute route;

	private final int tokensBeforeAttempt;

	private final List<EngineEvent> heldEvents = new ArrayList<>();

	SilentAttempt(int attempt, PipelineRoute route, int tokensBeforeAttempt) {
		this.attempt = attempt;
		this.route = route;
		this.tokensBeforeAttempt = tokensBeforeAttempt;
	}

	int attempt() {
		return this.attempt;
	}

	PipelineRoute route() {
		return this.route;
	}

	int tokensBeforeAttempt() {
		return this.tokensBeforeAttempt;
	}

	void hold(EngineEvent event, int maxEvents) {
		if (this.heldEvents.size() < maxEvents) {
			this.heldEvents.add(event);
		}
	}

	/**
	 * Returns whether the attempt has sent events since it was superseded.
	 * @return true if it is no longer silent
	 */
	boolean hasGoneOn() {
		return !this.heldEvents.isEmpty();
	}

	List<EngineEvent> heldEvents() {
		return List.copyOf(this.heldEvents);
	}

}
