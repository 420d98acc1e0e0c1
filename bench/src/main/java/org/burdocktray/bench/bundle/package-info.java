/**
 * Measures the propagation of bundles through a fleet, in virtual time.
 */
package org.burdocktray.bench.bundle;
