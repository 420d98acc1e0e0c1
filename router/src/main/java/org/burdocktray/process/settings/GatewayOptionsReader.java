package org.burdocktray.process.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import io.vavr.control.Either;
import org.burdocktray.process.settings.GatewayOptions.Activation;
import org.burdocktray.process.settings.GatewayOptions.BalancingOptions;
import org.burdocktray.process.settings.GatewayOptions.HedgingOptions;
import org.burdocktray.process.settings.GatewayOptions.OverloadOptions;
import org.burdocktray.process.settings.GatewayOptions.PressureOptions;
import org.burdocktray.process.settings.GatewayOptions.WatchOptions;
import org.burdocktray.version.config.ConfigFault;
import org.burdocktray.version.config.ConfigFile;
import org.burdocktray.version.config.ConfigObject;
import org.burdocktray.version.config.NumberRange;

/**
 * Reads and validates the options of a gateway. Thread safety: stateless.
 */
public final class GatewayOptionsReader {

	private static final NumberRange VM_COUNT = NumberRange.of(1, 10_000);

	private static final NumberRange WATCHERS = NumberRange.of(1, 100);

	private static final NumberRange SHARE = NumberRange.of(0, 1);

	private static final NumberRange RUNS = NumberRange.of(0, 100_000);

	private static final NumberRange RATIO = NumberRange.of(1, 100);

	private static final NumberRange MILLIS = NumberRange.of(1, 3_600_000);

	private static final NumberRange DELAY_MILLIS = NumberRange.of(1, 10_000);

	/** A limit near 0 would put each VM under pressure without load. */
	private static final NumberRange LIMIT_SHARE = NumberRange.of(0.05, 1);

	private static final String AUTO = "auto";

	private static final String ALWAYS = "always";

	private static final int DEFAULT_MIN_VM_COUNT = 16;

	private static final int DEFAULT_VMS_PER_WATCHER = 32;

	private static final int DEFAULT_MIN_WATCHERS = 2;

	private static final double DEFAULT_MIN_ADMITTED_SHARE = 0.05;

	private static final double DEFAULT_IMBALANCE_RATIO = 1.3;

	private static final long DEFAULT_PAYBACK_MILLIS = 10_000;

	private static final double DEFAULT_DELAY_QUANTILE = 0.95;

	private static final long DEFAULT_MIN_DELAY_MILLIS = 50;

	/** The mean delay from which on a VM accepts no relayed requests in any case. */
	private static final long DEFAULT_MAX_EVENT_LOOP_DELAY_MILLIS = 100;

	private static final double DEFAULT_MAX_PROCESSOR_SHARE = 0.9;

	private static final double DEFAULT_MAX_MEMORY_SHARE = 0.85;

	private static final double DEFAULT_MAX_LINK_SHARE = 0.8;

	private static final double DEFAULT_RELAY_SHARE_LIMIT = 0.75;

	private GatewayOptionsReader() {
	}

	/**
	 * Reads options from a file.
	 * @param file the file
	 * @return the options, or all faults found in the file
	 */
	public static Either<List<ConfigFault>, GatewayOptions> read(Path file) {
		return ConfigFile.load(file).flatMap((text) -> read(file.toString(), text));
	}

	/**
	 * Reads options from text.
	 * @param file the name of the source, used in fault messages
	 * @param text the options as JSON with comments
	 * @return the options, or all faults found in the text
	 */
	public static Either<List<ConfigFault>, GatewayOptions> read(String file, String text) {
		return ConfigFile.read(file, text, GatewayOptionsReader::readRoot);
	}

	private static GatewayOptions readRoot(ConfigObject root) {
		return new GatewayOptions(section(root, "watch", GatewayOptionsReader::readWatch),
				section(root, "overload", GatewayOptionsReader::readOverload),
				section(root, "balancing", GatewayOptionsReader::readBalancing),
				section(root, "hedging", GatewayOptionsReader::readHedging),
				section(root, "pressure", GatewayOptionsReader::readPressure),
				section(root, "clients", ClientOptionsReader::read).orElse(ClientOptions.DEFAULT));
	}

	private static <T> Optional<T> section(ConfigObject root, String field, Function<ConfigObject, T> reader) {
		return root.has(field) ? Optional.of(root.object(field, reader)) : Optional.empty();
	}

	private static WatchOptions readWatch(ConfigObject object) {
		return new WatchOptions((int) object.wholeNumber("minVmCount", VM_COUNT, DEFAULT_MIN_VM_COUNT),
				(int) object.wholeNumber("vmsPerWatcher", VM_COUNT, DEFAULT_VMS_PER_WATCHER),
				(int) object.wholeNumber("minWatchers", WATCHERS, DEFAULT_MIN_WATCHERS));
	}

	private static OverloadOptions readOverload(ConfigObject object) {
		return new OverloadOptions(readActivation(object),
				object.number("minAdmittedShare", SHARE, DEFAULT_MIN_ADMITTED_SHARE));
	}

	private static BalancingOptions readBalancing(ConfigObject object) {
		return new BalancingOptions(readActivation(object),
				object.number("imbalanceRatio", RATIO, DEFAULT_IMBALANCE_RATIO),
				object.wholeNumber("paybackMillis", MILLIS, DEFAULT_PAYBACK_MILLIS));
	}

	private static HedgingOptions readHedging(ConfigObject object) {
		return new HedgingOptions(object.number("maxRequestShare", SHARE),
				(int) object.wholeNumber("extraRuns", RUNS, 0),
				object.number("delayQuantile", NumberRange.BETWEEN_ZERO_AND_ONE, DEFAULT_DELAY_QUANTILE),
				object.wholeNumber("minDelayMillis", MILLIS, DEFAULT_MIN_DELAY_MILLIS));
	}

	private static PressureOptions readPressure(ConfigObject object) {
		return new PressureOptions(
				object.wholeNumber("maxEventLoopDelayMillis", DELAY_MILLIS, DEFAULT_MAX_EVENT_LOOP_DELAY_MILLIS),
				object.number("maxProcessorShare", LIMIT_SHARE, DEFAULT_MAX_PROCESSOR_SHARE),
				object.number("maxMemoryShare", LIMIT_SHARE, DEFAULT_MAX_MEMORY_SHARE),
				object.number("maxLinkShare", LIMIT_SHARE, DEFAULT_MAX_LINK_SHARE),
				object.number("relayShareLimit", SHARE, DEFAULT_RELAY_SHARE_LIMIT));
	}

	private static Activation readActivation(ConfigObject object) {
		String word = object.choice("activation", List.of(AUTO, ALWAYS), AUTO);
		return ALWAYS.equals(word) ? Activation.ALWAYS : Activation.AUTO;
	}

}
