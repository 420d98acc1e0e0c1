package org.burdocktray.version.routing;

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
 * Builds small fleets for tests. Activations have 1000 bytes per token. Thread safety:
 * none.
 */
public final class FleetBuilder {

	private static final NetworkAddress ADDRESS = new NetworkAddress("127.0.0.1", 9000);

	private final List<Model> models = new ArrayList<>();

	private final List<Engine> engines = new ArrayList<>();

	private final List<Link> links = new ArrayList<>();

	public FleetBuilder model(String name, int layers) {
		this.models.add(new Model(name, "1", layers, 1000, 100));
		return this;
	}

	public FleetBuilder engine(String name, String dataCentre, String model, int fromLayer, int toLayer,
			double tokensPerSecond) {
		this.engines.add(new Engine(name, new DataCentre(dataCentre), ADDRESS, model, fromLayer, toLayer, "k",
				tokensPerSecond, 64, List.of(), true));
		return this;
	}

	public FleetBuilder link(String from, String to, long tokensPerSecond) {
		this.links.add(new Link(new DataCentre(from), new DataCentre(to), tokensPerSecond * 1000, 300));
		return this;
	}

	public Bundle bundle() {
		Limits limits = new Limits(1, 1, 1, 1, 1, 1, 1, 1, 0, 1);
		return new Bundle(1, this.models, this.engines, this.links, List.of(), List.of(), List.of(), List.of(), limits);
	}

	public RoutingSnapshot snapshot() {
		return RoutingSnapshot.of(bundle());
	}

}
