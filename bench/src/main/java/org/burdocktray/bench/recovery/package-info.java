/**
 * Measures the pauses that callers see when a stage of their pipeline fails, in virtual
 * time.
 */
package org.burdocktray.bench.recovery;
