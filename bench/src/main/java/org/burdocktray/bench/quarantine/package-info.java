/**
 * Measures the effect of requests that crash upstreams, with and without the quarantine,
 * in virtual time.
 */
package org.burdocktray.bench.quarantine;
