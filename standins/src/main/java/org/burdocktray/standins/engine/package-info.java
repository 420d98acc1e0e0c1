/**
 * The stand-in for a model engine that holds a range of layers.
 */
package org.burdocktray.standins.engine;
