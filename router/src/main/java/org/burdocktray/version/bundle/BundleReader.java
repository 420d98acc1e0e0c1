package org.burdocktray.version.bundle;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import io.vavr.control.Either;
import org.burdocktray.version.config.ConfigEntry;
import org.burdocktray.version.config.ConfigFault;
import org.burdocktray.version.config.ConfigFile;
import org.burdocktray.version.config.ConfigObject;
import org.burdocktray.version.config.NumberRange;

/**
 * Reads and validates the content of a bundle. Invariant: a returned bundle has unique
 * names, references that resolve and a complete path of engines for each model. Thread
 * safety: stateless.
 */
public final class BundleReader {

	private static final NumberRange VERSIONS = NumberRange.of(1, 1e15);

	private BundleReader() {
	}

	/**
	 * Reads a bundle from a file.
	 * @param file the file
	 * @return the bundle, or all faults of the file
	 */
	public static Either<List<ConfigFault>, Bundle> read(Path file) {
		return ConfigFile.load(file).flatMap((text) -> read(file.toString(), text));
	}

	/**
	 * Reads a bundle from text.
	 * @param file the name of the source for faults
	 * @param text the bundle as JSON with comments
	 * @return the bundle, or all faults of the text
	 */
	public static Either<List<ConfigFault>, Bundle> read(String file, String text) {
		return ConfigFile.read(file, text, BundleReader::readRoot);
	}

	private static Bundle readRoot(ConfigObject root) {
		long version = root.wholeNumber("version", VERSIONS);
		BundleEntries entries = BundleEntries.read(root);
		BundleChecks.check(entries);
		List<Operator> operators = OperatorReader.read(root, "operators", false);
		List<Objective> objectives = ObjectiveReader.read(root, "objectives");
		Limits limits = root.object("limits", LimitsReader::read);
		return new Bundle(version, values(entries.models()), values(entries.engines()), values(entries.links()),
				values(entries.services()), values(entries.organisations()), operators, objectives, limits);
	}

	private static <T> List<T> values(List<ConfigEntry<T>> entries) {
		return entries.stream().map(ConfigEntry::value).flatMap(Optional::stream).toList();
	}

}
