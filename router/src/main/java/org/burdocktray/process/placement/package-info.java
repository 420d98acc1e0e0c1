/**
 * Assignment of model layers to engines, and tracking of the orders that carry it out.
 */
package org.burdocktray.process.placement;
