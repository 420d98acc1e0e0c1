/**
 * Which layers each engine is to hold, and the orders that bring it about.
 */
package org.burdocktray.process.placement;
