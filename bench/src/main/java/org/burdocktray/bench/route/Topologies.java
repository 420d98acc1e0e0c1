package org.burdocktray.bench.route;

import java.util.List;
import java.util.SplittableRandom;

/**
 * Creates the topologies of the measurements. Thread safety: stateless.
 */
public final class Topologies {

	private static final long BYTES_PER_MEGABYTE = 1_000_000;

	private static final String MODEL = "m";

	private static final int TARGET_MODELS = 33;

	private static final int TARGET_ENGINES = 1700;

	/** Number of regions, and of data centres in each region. */
	private static final int TARGET_REGIONS = 3;

	private Topologies() {
	}

	static List<Topology> fixed() {
		return List.of(yankiLike(), proefpotLike(), heterogeneousLinks(), unalignedLayerRanges(), slowAccelerators());
	}

	/**
	 * Returns a fleet of 35 engines in three data centres.
	 * @return the topology
	 */
	public static Topology yankiLike() {
		return new TopologyBuilder().addModel(MODEL, 48)
			.addEngines(4, "ankara", MODEL, 0, 16, Accelerator.LARGE)
			.addEngines(3, "ankara", MODEL, 16, 32, Accelerator.MEDIUM)
			.addEngines(4, "ankara", MODEL, 32, 48, Accelerator.MEDIUM)
			.addEngines(2, "ankara", MODEL, 32, 48, Accelerator.SMALL)
			.addEngines(2, "konya", MODEL, 0, 16, Accelerator.MEDIUM)
			.addEngines(4, "konya", MODEL, 16, 32, Accelerator.LARGE)
			.addEngines(2, "konya", MODEL, 16, 32, Accelerator.SMALL)
			.addEngines(4, "konya", MODEL, 32, 48, Accelerator.MEDIUM)
			.addEngines(3, "kayseri", MODEL, 0, 16, Accelerator.SMALL)
			.addEngines(3, "kayseri", MODEL, 16, 32, Accelerator.SMALL)
			.addEngines(4, "kayseri", MODEL, 32, 48, Accelerator.SMALL)
			.addLinks("ankara", "konya", 25 * BYTES_PER_MEGABYTE, 400)
			.addLinks("ankara", "kayseri", 10 * BYTES_PER_MEGABYTE, 500)
			.addLinks("konya", "kayseri", 10 * BYTES_PER_MEGABYTE, 450)
			.build("yanki-like", 0);
	}

	static Topology proefpotLike() {
		return new TopologyBuilder().addModel(MODEL, 40)
			.addEngines(6, "ghent", MODEL, 0, 20, Accelerator.LARGE)
			.addEngines(4, "ghent", MODEL, 20, 40, Accelerator.MEDIUM)
			.addEngines(4, "leuven", MODEL, 0, 20, Accelerator.MEDIUM)
			.addEngines(8, "leuven", MODEL, 20, 40, Accelerator.LARGE)
			.addEngines(7, "namur", MODEL, 0, 20, Accelerator.SMALL)
			.addEngines(6, "namur", MODEL, 20, 40, Accelerator.SMALL)
			.addLinks("ghent", "leuven", 100 * BYTES_PER_MEGABYTE, 300)
			.addLinks("ghent", "namur", 20 * BYTES_PER_MEGABYTE, 400)
			.addLinks("leuven", "namur", 5 * BYTES_PER_MEGABYTE, 300)
			.build("proefpot-like", 0);
	}

	static Topology heterogeneousLinks() {
		return new TopologyBuilder().addModel(MODEL, 36)
			.addEngines(6, "a", MODEL, 0, 12, Accelerator.LARGE)
			.addEngines(2, "a", MODEL, 12, 24, Accelerator.MEDIUM)
			.addEngines(5, "b", MODEL, 12, 24, Accelerator.LARGE)
			.addEngines(3, "b", MODEL, 24, 36, Accelerator.SMALL)
			.addEngines(6, "c", MODEL, 24, 36, Accelerator.LARGE)
			.addEngines(3, "c", MODEL, 0, 12, Accelerator.SMALL)
			.addEngines(4, "d", MODEL, 12, 24, Accelerator.SMALL)
			.addEngines(4, "d", MODEL, 24, 36, Accelerator.MEDIUM)
			.addLinks("a", "b", 100 * BYTES_PER_MEGABYTE, 500)
			.addLinks("b", "c", 60 * BYTES_PER_MEGABYTE, 500)
			.addLinks("a", "d", 10 * BYTES_PER_MEGABYTE, 900)
			.addLinks("c", "d", 3 * BYTES_PER_MEGABYTE, 900)
			.addLinks("a", "c", BYTES_PER_MEGABYTE, 900)
			.addLinks("b", "d", BYTES_PER_MEGABYTE, 900)
			.build("links-100x", 0);
	}

	static Topology unalignedLayerRanges() {
		return new TopologyBuilder().addModel(MODEL, 48)
			.addEngines(4, "a", MODEL, 0, 12, Accelerator.MEDIUM)
			.addEngines(3, "a", MODEL, 0, 20, Accelerator.LARGE)
			.addEngines(4, "a", MODEL, 12, 32, Accelerator.LARGE)
			.addEngines(3, "b", MODEL, 20, 32, Accelerator.MEDIUM)
			.addEngines(2, "b", MODEL, 20, 48, Accelerator.LARGE)
			.addEngines(4, "b", MODEL, 32, 48, Accelerator.MEDIUM)
			.addEngines(3, "c", MODEL, 0, 20, Accelerator.SMALL)
			.addEngines(5, "c", MODEL, 32, 48, Accelerator.SMALL)
			.addEngines(3, "c", MODEL, 12, 32, Accelerator.SMALL)
			.addLinks("a", "b", 40 * BYTES_PER_MEGABYTE, 400)
			.addLinks("a", "c", 15 * BYTES_PER_MEGABYTE, 400)
			.addLinks("b", "c", 4 * BYTES_PER_MEGABYTE, 700)
			.build("unaligned", 0);
	}

	static Topology slowAccelerators() {
		return new TopologyBuilder().addModel(MODEL, 32)
			.addEngines(5, "a", MODEL, 0, 16, Accelerator.LARGE)
			.addEngines(5, "a", MODEL, 0, 16, Accelerator.SLOW)
			.addEngines(4, "a", MODEL, 16, 32, Accelerator.LARGE)
			.addEngines(4, "a", MODEL, 16, 32, Accelerator.SLOW)
			.addEngines(3, "b", MODEL, 0, 16, Accelerator.MEDIUM)
			.addEngines(4, "b", MODEL, 0, 16, Accelerator.SLOW)
			.addEngines(4, "b", MODEL, 16, 32, Accelerator.MEDIUM)
			.addEngines(4, "b", MODEL, 16, 32, Accelerator.SLOW)
			.addLinks("a", "b", 30 * BYTES_PER_MEGABYTE, 500)
			.build("slow-kind", 0);
	}

	/**
	 * Generates a random topology with three kinds of accelerators and link rates that
	 * differ by a factor of up to 100.
	 * @param seed the seed of the random generator
	 * @return the topology
	 */
	static Topology random(long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		int layers = 48;
		int stages = 2 + random.nextInt(3);
		int dataCentres = 3 + random.nextInt(3);
		TopologyBuilder builder = new TopologyBuilder().addModel(MODEL, layers);
		Accelerator[] kinds = { Accelerator.LARGE, Accelerator.MEDIUM, Accelerator.SMALL };
		for (int stage = 0; stage < stages; stage++) {
			int from = layers * stage / stages;
			int to = layers * (stage + 1) / stages;
			for (Accelerator kind : kinds) {
				for (int group = 0; group < 2; group++) {
					builder.addEngines(1 + random.nextInt(3), "dc" + random.nextInt(dataCentres), MODEL, from, to,
							kind);
				}
			}
		}
		for (int first = 0; first < dataCentres; first++) {
			for (int second = first + 1; second < dataCentres; second++) {
				long bytesPerSecond = (long) (BYTES_PER_MEGABYTE * Math.pow(100, random.nextDouble()));
				builder.addLinks("dc" + first, "dc" + second, bytesPerSecond, 200 + random.nextInt(800));
			}
		}
		return builder.build("random", seed);
	}

	/**
	 * Generates a random topology of the target size: 1,700 engines of 33 models in 9
	 * data centres of 3 regions.
	 * @param seed the seed of the random generator
	 * @return the topology
	 */
	public static Topology targetSize(long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		int layers = 48;
		int stages = 3;
		TopologyBuilder builder = new TopologyBuilder();
		for (int model = 0; model < TARGET_MODELS; model++) {
			builder.addModel(MODEL + model, layers);
		}
		Accelerator[] kinds = { Accelerator.LARGE, Accelerator.MEDIUM, Accelerator.SMALL };
		for (int engine = 0; engine < TARGET_ENGINES; engine++) {
			int model = engine % TARGET_MODELS;
			int stage = random.nextInt(stages);
			int region = model % TARGET_REGIONS;
			int dataCentre = region * TARGET_REGIONS + random.nextInt(TARGET_REGIONS);
			builder.addEngines(1, "dc" + dataCentre, MODEL + model, layers * stage / stages,
					layers * (stage + 1) / stages, kinds[random.nextInt(kinds.length)]);
		}
		linkTargetDataCentres(builder, random);
		return builder.build("target", seed);
	}

	private static void linkTargetDataCentres(TopologyBuilder builder, SplittableRandom random) {
		int dataCentres = TARGET_REGIONS * TARGET_REGIONS;
		for (int first = 0; first < dataCentres; first++) {
			for (int second = first + 1; second < dataCentres; second++) {
				boolean sameRegion = first / TARGET_REGIONS == second / TARGET_REGIONS;
				long megabytes = (sameRegion) ? 500 + random.nextInt(500) : 10 + random.nextInt(40);
				builder.addLinks("dc" + first, "dc" + second, megabytes * BYTES_PER_MEGABYTE,
						(sameRegion) ? 500 : 8000);
			}
		}
	}

}
