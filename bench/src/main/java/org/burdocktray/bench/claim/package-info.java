/**
 * Measures the cost of claims on idempotency keys: writes to the platform's store, added
 * latency and bytes, in virtual time.
 */
package org.burdocktray.bench.claim;
