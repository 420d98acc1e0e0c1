package org.burdocktray.bench.route;

import java.util.ArrayList;
import java.util.List;

import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.version.bundle.Bundle;
import org.burdocktray.version.bundle.Engine;
import org.burdocktray.version.bundle.Limits;
import org.burdocktray.version.bundle.Link;
import org.burdocktray.version.bundle.Model;

/**
 * Builds a topology from models, engines and links. Thread safety: none.
 */
final class TopologyBuilder {

	static final long ACTIVATION_BYTES_PER_TOKEN = 16_384;

	/** Interval between the tokens of a stream when all slots are occupied. */
	private static final double STREAM_TOKEN_INTERVAL_SECONDS = 0.08;

	private static final int MIN_CONCURRENT_STREAMS = 8;

	private static final int MAX_OUTPUT_TOKENS = 4096;

	private static final int PORT = 9000;

	private final List<Model> models = new ArrayList<>();

	private final List<Engine> addEngines = new ArrayList<>();

	private final List<Link> links = new ArrayList<>();

	TopologyBuilder addModel(String name, int layers) {
		this.models.add(new Model(name, "1", layers, ACTIVATION_BYTES_PER_TOKEN, MAX_OUTPUT_TOKENS));
		return this;
	}

	TopologyBuilder addEngines(int count, String dataCentre, String model, int fromLayer, int toLayer,
			Accelerator accelerator) {
		double tokensPerSecond = accelerator.layerTokensPerSecond() / (toLayer - fromLayer);
		int streams = Math.max(MIN_CONCURRENT_STREAMS,
				(int) Math.round(tokensPerSecond * STREAM_TOKEN_INTERVAL_SECONDS));
		for (int i = 0; i < count; i++) {
			String name = dataCentre + "-e" + this.addEngines.size();
			this.addEngines.add(new Engine(name, new DataCentre(dataCentre), new NetworkAddress("127.0.0.1", PORT),
					model, fromLayer, toLayer, accelerator.name(), tokensPerSecond, streams, List.of(), true));
		}
		return this;
	}

	TopologyBuilder addLink(String from, String to, long bytesPerSecond, long oneWayMicros) {
		this.links.add(new Link(new DataCentre(from), new DataCentre(to), bytesPerSecond, oneWayMicros));
		return this;
	}

	TopologyBuilder addLinks(String first, String second, long bytesPerSecond, long oneWayMicros) {
		return addLink(first, second, bytesPerSecond, oneWayMicros).addLink(second, first, bytesPerSecond,
				oneWayMicros);
	}

	Topology build(String name, long seed) {
		Limits limits = new Limits(1, 1, 1, 1, 1, 1, 1, 1, 0, 1);
		Bundle bundle = new Bundle(1, this.models, this.addEngines, this.links, List.of(), List.of(), List.of(),
				List.of(), limits);
		return new Topology(name, seed, bundle);
	}

}
