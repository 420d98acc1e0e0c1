/**
 * Components with the lifetime of the process: settings, membership, claim shards,
 * metrics and the wiring of all other layers.
 */
package org.burdocktray.process;
