package org.burdocktray.bench.route;

/**
 * Kinds of accelerators in the topologies. Thread safety: immutable.
 */
enum Accelerator {

	LARGE(25_600), MEDIUM(12_800), SMALL(5_120), SLOW(1_280);

	private final double layerTokensPerSecond;

	Accelerator(double layerTokensPerSecond) {
		this.layerTokensPerSecond = layerTokensPerSecond;
	}

	/**
	 * Returns the rate of an engine that holds one layer; the rate of an engine with n
	 * layers is 1/n of it.
	 * @return tokens per second
	 */
	double layerTokensPerSecond() {
		return this.layerTokensPerSecond;
	}

}
