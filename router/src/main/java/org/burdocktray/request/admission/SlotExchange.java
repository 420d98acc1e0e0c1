package org.burdocktray.request.admission;

import java.util.List;

import org.burdocktray.process.limits.ShareMessage;

/**
 * Reaches the other VMs that may lend places. Thread safety: implementations can be
 * called from any thread and never block.
 */
public interface SlotExchange {

	/**
	 * Lists the VMs believed alive, without this one.
	 * @return their names
	 */
	List<String> peers();

	/**
	 * Sends a message; it may be lost.
	 * @param target the name of the model or service the places are for
	 * @param outgoing the message
	 */
	void send(String target, ShareMessage.Outgoing outgoing);

	/**
	 * An exchange without peers.
	 * @return the exchange
	 */
	static SlotExchange none() {
		return new SlotExchange() {
			@Override
			public List<String> peers() {
				return List.of();
			}

			@Override
			public void send(String target, ShareMessage.Outgoing outgoing) {
				throw new IllegalStateException("there is no peer to send to");
			}
		};
	}

}
