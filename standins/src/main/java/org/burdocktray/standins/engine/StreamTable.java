package org.burdocktray.standins.engine;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.burdocktray.standins.model.ModelIdentity;

/**
 * The states of the streams of an engine, and the attempts that have ended. While an
 * ended attempt is remembered, it and all lower attempts of its stream are not current,
 * so that their late steps run no layers. Thread safety: confined to one event loop.
 */
final class StreamTable {

	private static final long ACTIVE_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final Map<String, StreamState> streams = new HashMap<>();

	private final Map<String, EndedAttempt> endedAttempts = new HashMap<>();

	private final long retentionNanos;

	private final Consumer<String> removalListener;

	StreamTable(long retentionMillis, Consumer<String> removalListener) {
		this.retentionNanos = TimeUnit.MILLISECONDS.toNanos(retentionMillis);
		this.removalListener = removalListener;
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
