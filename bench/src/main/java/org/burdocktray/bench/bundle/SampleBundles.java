package org.burdocktray.bench.bundle;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Generates bundles in JSON. Thread safety: stateless.
 */
final class SampleBundles {

	private static final int DATA_CENTRES = 9;

	private static final int KEY_DIGEST_LONGS = 4;

	private SampleBundles() {
	}

	/**
	 * Returns a bundle with one engine.
	 * @param version the version
	 * @param contentLabel a label that distinguishes contents of one version
	 * @return the JSON text
	 */
	static String small(long version, String contentLabel) {
		return formatBundle(version, contentLabel, List.of(formatEngine(0, 1)), List.of());
	}

	/**
	 * Returns a bundle of the target size.
	 * @param version the version
	 * @param engineCount the number of replicas
	 * @param organisationCount the number of organisations
	 * @param random the source of rates and key digests
	 * @return the JSON text
	 */
	static String large(long version, int engineCount, int organisationCount, RandomGenerator random) {
		List<String> engines = new ArrayList<>();
		for (int index = 0; index < engineCount; index++) {
			engines.add(formatEngine(index, random.nextInt(100, 2_000)));
		}
		List<String> organisations = new ArrayList<>();
		for (int index = 0; index < organisationCount; index++) {
			organisations.add(formatOrganisation(index, random));
		}
		return formatBundle(version, "1", engines, organisations);
	}

	private static String formatBundle(long version, String contentLabel, List<String> engines,
			List<String> organisations) {
		return """
				{"version": %d, "models": [{"name": "m", "modelVersion": "%s", "layers": 1,
				"activationBytesPerToken": 8192, "maxOutputTokens": 512}], "engines": [%s], "organisations": [%s]}"""
			.formatted(version, contentLabel, String.join(",", engines), String.join(",", organisations));
	}

	private static String formatEngine(int index, int tokensPerSecond) {
		return """
				{"name": "engine-%d", "dataCentre": "dc%d", "address": "10.%d.%d.%d:9000", "model": "m", "fromLayer": 0,
				"toLayer": 1, "acceleratorKind": "l4", "tokensPerSecond": %d, "maxConcurrentStreams": 32}""".formatted(
				index, index % DATA_CENTRES, index % DATA_CENTRES, index / 250, index % 250 + 1, tokensPerSecond);
	}

	private static String formatOrganisation(int index, RandomGenerator random) {
		StringBuilder digest = new StringBuilder();
		for (int part = 0; part < KEY_DIGEST_LONGS; part++) {
			digest.append("%016x".formatted(random.nextLong()));
		}
		return """
				{"name": "organisation-%d", "keyDigests": ["%s"], "weight": %d, "tokensPerSecond": %d,
				"requestsPerSecond": 40}""".formatted(index, digest, random.nextInt(1, 9), random.nextInt(100, 900));
	}

}
