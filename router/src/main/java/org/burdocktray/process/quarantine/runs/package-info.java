/**
 * The runs of one request that the quarantine watches.
 */
package org.burdocktray.process.quarantine.runs;
