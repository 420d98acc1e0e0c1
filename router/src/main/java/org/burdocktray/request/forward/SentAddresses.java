package org.burdocktray.request.forward;

import java.util.HashSet;
import java.util.Set;

import org.burdocktray.model.NetworkAddress;

/**
 * The addresses to which one request has been sent. The id in an answer names the
 * request, not the attempt: on a connection that has carried the request before, a second
 * answer to the earlier attempt could be taken for the answer to the later one. So only
 * the first attempt at an address may use a connection that is kept. Thread safety: none,
 * confined to the request.
 */
public final class SentAddresses {

	private final Set<NetworkAddress> addresses = new HashSet<>();

	/**
	 * Records that the request is about to be sent to an address.
	 * @param address the address
	 * @return whether this is the first time
	 */
	public boolean add(NetworkAddress address) {
		return this.addresses.add(address);
	}

}
