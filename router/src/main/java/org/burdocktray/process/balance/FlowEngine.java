package org.burdocktray.process.balance;

import java.util.Comparator;

import org.burdocktray.process.directory.LayerRange;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.version.rules.AcceleratorKind;

/**
 * An engine that holds layers, with its present speed. Thread safety: immutable.
 *
 * @param engine the engine
 * @param held the layers that it holds
 * @param kind its accelerator kind
 * @param slowdownFactor the factor by which it is slower than its kind at present
 */
record FlowEngine(Replica engine, LayerRange held, AcceleratorKind kind, double slowdownFactor) {

	/** The order of ids. */
	static final Comparator<FlowEngine> BY_ID = new Comparator<>() {
		@Override
		public int compare(FlowEngine first, FlowEngine second) {
			return first.engine.id().compareTo(second.engine.id());
		}
	};

	/** The order of the last held layers. */
	static final Comparator<FlowEngine> BY_END = new Comparator<>() {
		@Override
		public int compare(FlowEngine first, FlowEngine second) {
			return Integer.compare(first.held.to(), second.held.to());
		}
	};

	double stepFactor() {
		return this.kind.stepFactor() * this.slowdownFactor;
	}

	/**
	 * Returns the part of the step factor of a path that the engine adds to it.
	 * @param fromLayer the first layer that it runs
	 * @param layers the number of layers of the model
	 * @return the engine's step factor, weighted by its share of the layers
	 */
	double pathFactor(int fromLayer, int layers) {
		return stepFactor() * (this.held.to() - fromLayer) / layers;
	}

}
