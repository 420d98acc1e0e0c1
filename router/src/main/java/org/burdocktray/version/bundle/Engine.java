package org.burdocktray.version.bundle;

import java.util.List;

import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;

/**
 * An upstream that holds a contiguous range of layers of one model. Thread safety:
 * immutable.
 *
 * @param name the unique name of the upstream
 * @param dataCentre the data centre in which it runs
 * @param address its HTTP address
 * @param model the name of the model it holds
 * @param fromLayer the first layer it holds
 * @param toLayer the layer after the last layer it holds
 * @param acceleratorKind the kind of its accelerators
 * @param tokensPerSecond its token rate with full batches
 * @param maxConcurrentStreams the maximum number of streams in a batch
 * @param adapters the names of the loaded adapters
 * @param checksFencing whether it rejects an order with a lower fencing number than one
 * it has received
 */
public record Engine(String name, DataCentre dataCentre, NetworkAddress address, String model, int fromLayer,
		int toLayer, String acceleratorKind, double tokensPerSecond, int maxConcurrentStreams, List<String> adapters,
		boolean checksFencing) {

	public Engine {
		adapters = List.copyOf(adapters);
	}

}
