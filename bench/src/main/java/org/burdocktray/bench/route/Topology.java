package org.burdocktray.bench.route;

import org.burdocktray.version.bundle.Bundle;

/**
 * The engines and links of a measurement. Thread safety: immutable.
 *
 * @param name the name printed in the table
 * @param seed the seed of the random generator; 0 for a fixed topology
 * @param bundle the models, engines and links
 */
public record Topology(String name, long seed, Bundle bundle) {

}
