package org.burdocktray.process.membership;

import org.burdocktray.model.NetworkAddress;

/**
 * Is told where a newer bundle can be had. Thread safety: called on the membership's
 * worker; implementations do not block.
 */
@FunctionalInterface
public interface HigherVersionListener {

	/**
	 * Notes that a peer has a higher bundle version in force than this VM. May be called
	 * many times for one version.
	 * @param peer the peer's address
	 * @param version its version
	 */
	void onHigherVersion(NetworkAddress peer, long version);

}
