package org.burdocktray.standins.model;

/**
 * The recurrent state of a range of layers for one stream. Invariant: a position enters
 * every layer of the range once and in order; running a position again, or leaving one
 * out, changes all later outputs. Thread safety: none, owned by one event loop.
 */
public final class LayerRangeState {

	private final int fromLayer;

	private final long[] states;

	private LayerRangeState(int fromLayer, long[] states) {
		this.fromLayer = fromLayer;
		this.states = states;
	}

	/**
	 * Makes the state before the first position.
	 * @param identity the model
	 * @param fromLayer the first layer
	 * @param toLayer the layer after the last one
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
	 * @param states one state a layer
	 * @return the state
	 */
	public static LayerRangeState restore(int fromLayer, long[] states) {
		return new LayerRangeState(fromLayer, states.clone());
	}

	/**
	 * Runs all layers of the range for the next position.
	 * @param activation the output of the layer before the range
	 * @return the output of the last layer of the range
	 */
	public long run(long activation) {
		long current = activation;
		for (int index = 0; index < this.states.length; index++) {
			long withLayer = Mixing.mix(current, this.fromLayer + index);
			this.states[index] = Mixing.mix(this.states[index], withLayer);
			current = Mixing.mix(current, this.states[index]);
		}
		return current;
	}

	/**
	 * Copies the state, one number a layer.
	 * @return the copy
	 */
	public long[] states() {
		return this.states.clone();
	}

}
