package org.burdocktray.process.directory;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.version.rules.AcceleratorKind;
import org.burdocktray.version.rules.EngineProfile;

/**
 * Creates replicas and engines for tests.
 */
public final class TestReplicas {

	/**
	 * A model of 10 layers. Beside its KV cache, a fast engine has memory for 6 layers
	 * and a slow one for 3.
	 */
	public static final EngineProfile PROFILE = new EngineProfile("m", 10, 100, 10_000, 1, 0.01, 0.01, 100_000, 100,
			500, 200, 200,
			Map.of("fast", new AcceleratorKind("fast", 700, 1, 1), "slow", new AcceleratorKind("slow", 400, 8, 8)));

	private TestReplicas() {
	}

	public static Replica replica(String id, int port) {
		return new Replica(id, 1, "s", new NetworkAddress("10.0.0.1", port), new DataCentre("ghent"), 4, false,
				Optional.empty(), Optional.empty());
	}

	public static Replica engine(String id, String dataCentre, String kind, int from, int to) {
		return emptyEngine(id, dataCentre, kind).withLayers(Optional.of(new LayerRange(from, to)));
	}

	public static Replica emptyEngine(String id, String dataCentre, String kind) {
		return new Replica(id, 1, "s", new NetworkAddress("10.0.0.1", 1 + (id.hashCode() & 0xFFF)),
				new DataCentre(dataCentre), 100, false, Optional.of(kind), Optional.empty());
	}

	public static LoadReport report(long orderSequence, boolean orderInProgress, long kvUsed) {
		return new LoadReport(1, orderInProgress, orderSequence, Optional.empty(), 0, 0, kvUsed, 1_000_000, 1,
				List.of());
	}

}
