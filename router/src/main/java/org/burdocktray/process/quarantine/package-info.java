/**
 * Prevents single requests that crash upstreams from crashing more of them.
 */
package org.burdocktray.process.quarantine;
