/**
 * Simulates the gossip between VMs in virtual time and measures its cost and the time
 * until changes reach all VMs.
 */
package org.burdocktray.bench.membership;
