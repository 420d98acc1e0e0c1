package org.burdocktray.process.membership;

import org.burdocktray.model.NetworkAddress;

/**
 * Listener for peers that have a higher bundle version in force. Thread safety: called on
 * the membership's worker; implementations must not block.
 */
@FunctionalInterface
public interface HigherVersionListener {

	/**
	 * Called when a peer reports a higher bundle version than the one in force on this
	 * VM. May be called several times for the same version.
	 * @param peer the peer's address
	 * @param version the version in force at the peer
	 */
	void onHigherVersion(NetworkAddress peer, long version);

}
