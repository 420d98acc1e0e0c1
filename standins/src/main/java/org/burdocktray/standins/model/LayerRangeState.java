package org.burdocktray.standins.model;

/**
 * The recurrent state of a range of layers for one stream. Each position must run through
 * the layers exactly once and in order: repeating or skipping a position changes all
 * later outputs. Thread safety: confined to one event loop.
 */
public final class LayerRangeState {

	private final int fromLayer;

	private final long[] states;

	private LayerRangeState(int fromLayer, long[] states) {
		this.fromLayer = fromLayer;
		this.states = states;
	}

	/**
	 * Creates the state before the first position.
	 * @param identity the model
	 * @param fromLayer the first layer
	 * @param toLayer the end of the layer range, exclusive
	 * @return the state
	 */
	public static LayerRangeState initial(ModelIdentity identity, int fromLayer, int toLayer) {
		long[] states = new long[toLayer - fromLayer];
		for (int index = 0; index < states.length; index++) {
			states[index] = identity.initialState(fromLayer + index);
		}
		return new LayerRangeState(fromLayer, states);
	}

	/**
	 * Restores an exported state.
	 * @param fromLayer the first layer
	 * @param states one state per layer
	 * @return the state
	 */
	public static LayerRangeState restore(int fromLayer, long[] states) {
		return new LayerRangeState(fromLayer, states.clone());
	}

	/**
	 * Runs all layers of the range for the next position.
	 * @param activation the output of the previous layer, or the token's embedding when
	 * the range starts at layer 0
	 * @return the output of the last layer of the range
	 */
	public long run(long activation) {
		long output = activation;
		for (int index = 0; index < this.states.length; index++) {
			long withLayer = Mixing.mix(output, this.fromLayer + index);
			this.states[index] = Mixing.mix(this.states[index], withLayer);
			output = Mixing.mix(output, this.states[index]);
		}
		return output;
	}

	/**
	 * Returns a copy of the state.
	 * @return one state per layer
	 */
	public long[] states() {
		return this.states.clone();
	}

}
