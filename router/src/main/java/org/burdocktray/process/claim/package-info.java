/**
 * Claims on idempotency keys, stored in the platform's store, so that a non-idempotent
 * request runs at most once across all VMs.
 */
package org.burdocktray.process.claim;
