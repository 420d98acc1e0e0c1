/**
 * Lightweight stand-ins for external systems: the platform's object API, a model engine
 * that holds a range of layers, and a plain service. They are used in tests and trials
 * only and are not part of the product.
 */
package org.burdocktray.standins;
