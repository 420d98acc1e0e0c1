package org.burdocktray.process.membership;

import org.burdocktray.connection.peer.generated.Gossip;

/**
 * Change to be propagated to all VMs. Thread safety: immutable.
 *
 * @param key identifies the changed data; a newer item replaces an older one with the
 * same key
 * @param fragment the change in wire format
 * @param urgent whether it is sent to some peers immediately, before the next heartbeat
 */
public record GossipItem(String key, Gossip fragment, boolean urgent) {

}
