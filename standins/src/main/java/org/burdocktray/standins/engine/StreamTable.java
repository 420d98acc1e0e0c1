package org.burdocktray.standins.engine;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.burdocktray.standins.model.ModelIdentity;

/**
 * The streams that an engine keeps, and the attempts that have ended. Invariant: an
 * attempt up to an ended one can't enter while the end is remembered, so that its late
 * steps run nothing. Thread safety: none, owned by one event loop.
 */
final class StreamTable {

	private static final long ACTIVE_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final Map<String, StreamState> streams = new HashMap<>();

	private final Map<String, EndedAttempt> endedAttempts = new HashMap<>();

	private final long retentionNanos;

	private final Consumer<String> removalListener;

	StreamTable(long keepMillis, Consumer<String> onDropped) {
		this.retentionNanos = TimeUnit.MILLISECONDS.toNanos(keepMillis);
		this.removalListener = onDropped;
	}

	Optional<StreamState> find(String streamId) {
		return Optional.ofNullable(this.streams.get(streamId));
	}

	boolean isCurrentAttempt(String streamId, long attempt) {
		return !hasEnded(streamId, attempt)
				&& find(streamId).map((stream) -> stream.isCurrentAttempt(attempt)).orElse(true);
	}

	boolean isNewAttempt(String streamId, long attempt) {
		return !hasEnded(streamId, attempt)
				&& find(streamId).map((stream) -> stream.isNewAttempt(attempt)).orElse(true);
	}

	StreamState startAttempt(String streamId, long attempt, ModelIdentity identity, Stage stage, long nowNanos) {
		StreamState stream = this.streams.computeIfAbsent(streamId,
				(id) -> new StreamState(identity, stage.fromLayer(), stage.toLayer()));
		stream.startAttempt(attempt, nowNanos);
		return stream;
	}

	void importStream(String streamId, StreamState stream, long nowNanos) {
		this.endedAttempts.remove(streamId);
		stream.markUsed(nowNanos);
		this.streams.put(streamId, stream);
	}

	boolean endAttempt(String streamId, long attempt, long nowNanos) {
		if (!isCurrentAttempt(streamId, attempt)) {
			return false;
		}
		this.endedAttempts.put(streamId, new EndedAttempt(attempt, nowNanos));
		return remove(streamId);
	}

	void removeExpired(long nowNanos) {
		this.streams.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().isIdleFor(nowNanos, this.retentionNanos))
			.map(Map.Entry::getKey)
			.toList()
			.forEach(this::remove);
		this.endedAttempts.values().removeIf((end) -> nowNanos - end.endedNanos() >= this.retentionNanos);
	}

	int countActive(long nowNanos) {
		return (int) this.streams.values()
			.stream()
			.filter((stream) -> !stream.isIdleFor(nowNanos, ACTIVE_WINDOW_NANOS))
			.count();
	}

	private boolean hasEnded(String streamId, long attempt) {
		EndedAttempt end = this.endedAttempts.get(streamId);
		return end != null && attempt <= end.attempt();
	}

	private boolean remove(String streamId) {
		this.removalListener.accept(streamId);
		return this.streams.remove(streamId) != null;
	}

	private record EndedAttempt(long attempt, long endedNanos) {
	}

}
