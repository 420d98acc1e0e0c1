package org.burdocktray.process.placement;

import org.burdocktray.process.directory.LayerRange;

/**
 * Layers that an engine has to load. Thread safety: immutable.
 *
 * @param layers the layers
 * @param reason why
 * @param gainPerSecond the typical requests per second that the engines of the data
 * centre bear beyond those without the change, 0 if it was not computed
 */
public record PlacementChange(LayerRange layers, Reason reason, double gainPerSecond) {

	/**
	 * Why an engine gets layers.
	 */
	public enum Reason {

		/** The engine has restarted and gets back what it held. */
		RESTARTED,

		/** The engine has none, and these add most to the flow. */
		FLOW,

		/** As without balancing: by the number of engines that hold each layer. */
		HOLDERS

	}

}
