/**
 * Failure detection and gossip between VMs. Both provide hints only: no safety property
 * depends on them.
 */
package org.burdocktray.process.membership;
