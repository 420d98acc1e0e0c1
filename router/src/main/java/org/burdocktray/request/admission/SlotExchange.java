package org.burdocktray.request.admission;

import java.util.List;

import org.burdocktray.process.limits.SlotLoanMessage;

/**
 * Sends messages about the lending of admission slots to the other VMs. Thread safety:
 * implementations can be called from any thread and never block.
 */
public interface SlotExchange {

	/**
	 * Returns the VMs that are alive in this VM's local view, without this VM.
	 * @return the names of the VMs
	 */
	List<String> peers();

	/**
	 * Sends a message. Delivery is not guaranteed.
	 * @param target the name of the model or service whose slots are lent
	 * @param outgoing the message and the VM it is sent to
	 */
	void send(String target, SlotLoanMessage.Outgoing outgoing);

	/**
	 * Creates an exchange without peers.
	 * @return the exchange
	 */
	static SlotExchange none() {
		return new SlotExchange() {
			@Override
			public List<String> peers() {
				return List.of();
			}

			@Override
			public void send(String target, SlotLoanMessage.Outgoing outgoing) {
				throw new IllegalStateException("cannot send a message: the exchange has no peers");
			}
		};
	}

}
