/**
 * Immutable values that all layers use. Does not depend on other packages of the product.
 */
package org.burdocktray.model;
