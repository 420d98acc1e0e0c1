/**
 * Orders that bring engines to the state defined by the bundle, sent by the holder of a
 * lease.
 */
package org.burdocktray.process.order;
