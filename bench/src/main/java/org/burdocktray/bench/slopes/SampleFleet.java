package org.burdocktray.bench.slopes;

import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.version.bundle.Bundle;
import org.burdocktray.version.bundle.Engine;
import org.burdocktray.version.bundle.Limits;
import org.burdocktray.version.bundle.Link;
import org.burdocktray.version.bundle.Model;
import org.burdocktray.version.bundle.Objective;
import org.burdocktray.version.bundle.Operator;
import org.burdocktray.version.bundle.Organisation;

/**
 * Creates bundles of a given size, with engines of three stages and three token rates
 * distributed over nine data centres. Thread safety: immutable.
 *
 * @param replicas the number of model replicas
 * @param models the number of models
 * @param organisations the number of organisations
 */
record SampleFleet(int replicas, int models, int organisations) {

	static final long SEED = 1;

	private static final int DATA_CENTRES = 9;

	private static final int STAGES = 3;

	private static final int LAYERS = 48;

	private static final int DIGEST_BYTES = 32;

	private static final int PORT = 9000;

	private static final int ADDRESSES_PER_BLOCK = 250;

	private static final double[] TOKENS_PER_SECOND_BY_KIND = { 2400, 1200, 300 };

	private static final long[] LINK_BYTES_PER_SECOND = { 1_000_000_000, 100_000_000, 10_000_000 };

	/**
	 * Returns the current size, an intermediate size and the target size of the fleet.
	 */
	static List<SampleFleet> sizes() {
		return List.of(new SampleFleet(35, 2, 10), new SampleFleet(350, 12, 100), new SampleFleet(1_700, 33, 670));
	}

	SampleFleet withOrganisations(int count) {
		return new SampleFleet(this.replicas, this.models, count);
	}

	/**
	 * Creates the bundle.
	 * @param operators the operators that may sign bundles
	 * @param reachableEngines engines that can be reached; each is the only stage of its
	 * own model
	 * @return the bundle with version 1
	 */
	Bundle bundle(List<Operator> operators, List<Engine> reachableEngines) {
		SplittableRandom random = new SplittableRandom(SEED);
		List<Model> allModels = new ArrayList<>();
		IntStream.range(0, this.models)
			.forEach((model) -> allModels.add(new Model("m" + model, "1", LAYERS, 16_384, 4096)));
		reachableEngines
			.forEach((engine) -> allModels.add(new Model(engine.model(), "1", engine.toLayer(), 16_384, 4096)));
		List<Engine> engines = new ArrayList<>();
		IntStream.range(0, this.replicas).forEach((index) -> engines.add(engine(index)));
		engines.addAll(reachableEngines);
		List<Organisation> organisationList = new ArrayList<>();
		IntStream.range(0, this.organisations).forEach((index) -> organisationList.add(organisation(index, random)));
		return new Bundle(1, allModels, engines, links(), List.of(), organisationList, operators, objectives(),
				limits());
	}

	static String apiKey(int organisation) {
		return "key-" + organisation;
	}

	static List<Objective> objectives() {
		return List.of(new Objective("answered", Objective.Kind.AVAILABILITY, 0.999, 0, 720),
				new Objective("first-token", Objective.Kind.FIRST_TOKEN, 0.95, 720, 720),
				new Objective("between-tokens", Objective.Kind.BETWEEN_TOKENS, 0.95, 30, 720),
				new Objective("recovery", Objective.Kind.RECOVERY, 0.95, 2000, 720));
	}

	private Engine engine(int index) {
		int model = index % this.models;
		int position = index / this.models;
		int stage = position % STAGES;
		int kind = (position / STAGES) % TOKENS_PER_SECOND_BY_KIND.length;
		String dataCentre = "dc" + (position + model) % DATA_CENTRES;
		return new Engine(dataCentre + "-e" + index, new DataCentre(dataCentre), address(index), "m" + model,
				LAYERS * stage / STAGES, LAYERS * (stage + 1) / STAGES, "kind" + kind, TOKENS_PER_SECOND_BY_KIND[kind],
				256, List.of(), true);
	}

	// Returns a loopback address on which nothing listens, so that load reports of the
	// engine fail immediately.
	private static NetworkAddress address(int index) {
		return new NetworkAddress("127.1." + index / ADDRESSES_PER_BLOCK + "." + (1 + index % ADDRESSES_PER_BLOCK),
				PORT);
	}

	private static Organisation organisation(int index, SplittableRandom random) {
		byte[] unusedDigest = new byte[DIGEST_BYTES];
		random.nextBytes(unusedDigest);
		List<String> digests = List.of(ApiKeys.digest(apiKey(index)), HexFormat.of().formatHex(unusedDigest));
		return new Organisation("organisation-" + index, digests, 1 + random.nextInt(8), 1e6, 1e5, 0, List.of());
	}

	private static List<Link> links() {
		List<Link> links = new ArrayList<>();
		for (int from = 0; from < DATA_CENTRES; from++) {
			for (int to = 0; to < DATA_CENTRES; to++) {
				long bytesPerSecond = LINK_BYTES_PER_SECOND[Math.abs(from - to) % LINK_BYTES_PER_SECOND.length];
				links.add(new Link(new DataCentre("dc" + from), new DataCentre("dc" + to), bytesPerSecond, 500));
			}
		}
		return links;
	}

	private static Limits limits() {
		return new Limits(1_048_576, 16_384, 10_000, 60_000, 60_000, 600_000, 60_000, 262_144, 0.1, 5_000);
	}

}
