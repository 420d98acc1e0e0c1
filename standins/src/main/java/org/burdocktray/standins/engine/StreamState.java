package org.burdocktray.standins.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongConsumer;

import org.burdocktray.standins.model.LayerRangeState;
import org.burdocktray.standins.model.ModelIdentity;

/**
 * The state of a stream at one stage: the recurrent state of the layers and the output of
 * each position that ran. Each position runs once. The number of the attempt never
 * decreases. Thread safety: confined to one event loop.
 */
final class StreamState {

	private final ModelIdentity identity;

	private final int fromLayer;

	private final int toLayer;

	private final List<Long> outputs = new ArrayList<>();

	private LayerRangeState layers;

	private long lastAttempt;

	private long lastUsedNanos;

	StreamState(ModelIdentity identity, int fromLayer, int toLayer) {
		this.identity = identity;
		this.fromLayer = fromLayer;
		this.toLayer = toLayer;
		this.layers = LayerRangeState.initial(identity, fromLayer, toLayer);
	}

	static StreamState fromExport(EngineBodies.StreamExport export) {
		ModelIdentity identity = new ModelIdentity(export.model(), export.modelVersion(), export.adapter());
		StreamState stream = new StreamState(identity, export.fromLayer(), export.toLayer());
		stream.layers = LayerRangeState.restore(export.fromLayer(), Activations.decode(export.states()));
		for (long output : Activations.decode(export.outputs())) {
			stream.outputs.add(output);
		}
		stream.lastAttempt = export.attempt();
		return stream;
	}

	EngineBodies.StreamExport toExport() {
		return new EngineBodies.StreamExport(this.identity.model(), this.identity.modelVersion(),
				this.identity.adapter(), this.fromLayer, this.toLayer, this.lastAttempt,
				Activations.encode(this.layers.states()), outputsFrom(0));
	}

	boolean matches(ModelIdentity otherIdentity, Stage stage) {
		return this.identity.equals(otherIdentity) && this.fromLayer == stage.fromLayer()
				&& this.toLayer == stage.toLayer();
	}

	boolean isCurrentAttempt(long attempt) {
		return attempt >= this.lastAttempt;
	}

	boolean isNewAttempt(long attempt) {
		return attempt > this.lastAttempt;
	}

	void startAttempt(long attempt, long nowNanos) {
		this.lastAttempt = attempt;
		markUsed(nowNanos);
	}

	void markUsed(long nowNanos) {
		this.lastUsedNanos = nowNanos;
	}

	/**
	 * Runs the positions that have not run yet.
	 * @param fromPosition the position of the first activation, at most
	 * {@link #nextPosition()}
	 * @param activations the activations
	 * @param outputConsumer the consumer of the output of each position that ran
	 * @return the number of positions that ran
	 */
	int run(int fromPosition, List<String> activations, LongConsumer outputConsumer) {
		int alreadyRunCount = nextPosition() - fromPosition;
		int runCount = 0;
		for (int index = alreadyRunCount; index < activations.size(); index++) {
			long output = this.layers.run(Activations.decode(activations.get(index)));
			this.outputs.add(output);
			outputConsumer.accept(output);
			runCount++;
		}
		return runCount;
	}

	int nextPosition() {
		return this.outputs.size();
	}

	long output(int position) {
		return this.outputs.get(position);
	}

	List<String> outputsBetween(int fromPosition, int toPosition) {
		return this.outputs.subList(fromPosition, toPosition).stream().map(Activations::encode).toList();
	}

	private List<String> outputsFrom(int position) {
		return outputsBetween(position, this.outputs.size());
	}

	boolean isIdleFor(long nowNanos, long nanos) {
		return nowNanos - this.lastUsedNanos >= nanos;
	}

}
