package org.burdocktray.process.watch;

import java.util.Optional;
import java.util.function.Consumer;

import org.burdocktray.connection.peer.generated.WatchAnswer;
import org.burdocktray.connection.peer.generated.WatchRequest;
import org.burdocktray.model.NetworkAddress;

/**
 * Sends requests to VMs that watch the store. Thread safety: that of its event loop.
 */
public interface WatchCalls {

	/**
	 * Asks a VM.
	 * @param watcher the address of the VM
	 * @param request the request
	 * @param timeoutMillis when the call is abandoned
	 * @param onEnd receives the answer once, or empty if there is none
	 */
	void ask(NetworkAddress watcher, WatchRequest request, long timeoutMillis, Consumer<Optional<WatchAnswer>> onEnd);

}
