/**
 * The content of a bundle as immutable records, with reading, validation, writing and
 * comparison.
 */
package org.burdocktray.version.bundle;
