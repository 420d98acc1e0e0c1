package org.burdocktray.version.bundle;

import java.util.List;
import java.util.regex.Pattern;

import org.burdocktray.model.DataCentre;
import org.burdocktray.version.config.ConfigEntry;
import org.burdocktray.version.config.ConfigObject;
import org.burdocktray.version.config.NumberRange;

/**
 * The entries of a bundle that refer to each other, each with its object in the file.
 * Thread safety: confined to the thread that reads the file.
 *
 * @param models the models
 * @param engines the engines
 * @param links the links
 * @param services the services
 * @param organisations the organisations
 */
record BundleEntries(List<ConfigEntry<Model>> models, List<ConfigEntry<Engine>> engines, List<ConfigEntry<Link>> links,
		List<ConfigEntry<Service>> services, List<ConfigEntry<Organisation>> organisations) {

	private static final Pattern DIGEST = Pattern.compile("[0-9a-f]{64}");

	private static final NumberRange LAYERS = NumberRange.of(1, 10_000);

	private static final NumberRange LAYER_BOUNDS = NumberRange.of(0, 10_000);

	private static final NumberRange ACTIVATION_BYTES = NumberRange.of(1, 1e9);

	private static final NumberRange OUTPUT_TOKENS = NumberRange.of(1, 1_000_000);

	private static final NumberRange STREAMS = NumberRange.of(1, 100_000);

	private static final NumberRange LINK_BYTES_PER_SECOND = NumberRange.of(1, 1e15);

	private static final NumberRange DELAY_MICROS = NumberRange.of(0, 10_000_000);

	private static final NumberRange PRIORITIES = NumberRange.of(0, 9);

	private static final long DEFAULT_OUTPUT_TOKENS = 1024;

	private static final double DEFAULT_WEIGHT = 1;

	private static final long DEFAULT_PRIORITY = 1;

	static BundleEntries read(ConfigObject root) {
		return new BundleEntries(root.entries("models", false, BundleEntries::readModel),
				root.entries("engines", false, BundleEntries::readEngine),
				root.entries("links", false, BundleEntries::readLink),
				root.entries("services", false, ServiceReader::read),
				root.entries("organisations", false, BundleEntries::readOrganisation));
	}

	private static Model readModel(ConfigObject object) {
		return new Model(object.name("name"), object.name("modelVersion"), (int) object.wholeNumber("layers", LAYERS),
				object.wholeNumber("activationBytesPerToken", ACTIVATION_BYTES),
				(int) object.wholeNumber("maxOutputTokens", OUTPUT_TOKENS, DEFAULT_OUTPUT_TOKENS));
	}

	private static Engine readEngine(ConfigObject object) {
		return new Engine(object.name("name"), new DataCentre(object.segment("dataCentre")), object.address("address"),
				object.name("model"), (int) object.wholeNumber("fromLayer", LAYER_BOUNDS),
				(int) object.wholeNumber("toLayer", LAYER_BOUNDS), object.name("acceleratorKind"),
				object.number("tokensPerSecond", NumberRange.ABOVE_ZERO),
				(int) object.wholeNumber("maxConcurrentStreams", STREAMS), object.names("adapters"),
				object.flag("checksFencing", false));
	}

	private static Link readLink(ConfigObject object) {
		return new Link(new DataCentre(object.segment("from")), new DataCentre(object.segment("to")),
				object.wholeNumber("bytesPerSecond", LINK_BYTES_PER_SECOND),
				object.wholeNumber("oneWayMicros", DELAY_MICROS));
	}

	private static Organisation readOrganisation(ConfigObject object) {
		return new Organisation(object.name("name"),
				object.texts("keyDigests", true, DIGEST, "a SHA-256 digest of 64 lower-case hex digits"),
				object.number("weight", NumberRange.ABOVE_ZERO, DEFAULT_WEIGHT),
				object.number("tokensPerSecond", NumberRange.ABOVE_ZERO),
				object.number("requestsPerSecond", NumberRange.ABOVE_ZERO),
				(int) object.wholeNumber("priority", PRIORITIES, DEFAULT_PRIORITY), object.names("models"));
	}

}
