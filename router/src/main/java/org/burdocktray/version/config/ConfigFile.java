package org.burdocktray.version.config;

import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import io.vavr.control.Either;

/**
 * Reads files of JSON with comments and converts the root object to a value. Invariant: a
 * value is returned only if the file has no fault. Thread safety: stateless.
 */
public final class ConfigFile {

	private ConfigFile() {
	}

	/**
	 * Reads the text of a UTF-8 file.
	 * @param file the file
	 * @return the text, or the fault that makes the file unreadable
	 */
	public static Either<List<ConfigFault>, String> load(Path file) {
		try {
			return Either.right(Files.readString(file));
		}
		catch (NoSuchFileException ex) {
			return unreadable(file, "no such file");
		}
		catch (CharacterCodingException ex) {
			return unreadable(file, "bytes that are not UTF-8");
		}
		catch (IOException ex) {
			return unreadable(file, "an input error (" + ex.getMessage() + ")");
		}
	}

	/**
	 * Reads a value from the text of a file.
	 * @param <T> the type of the value
	 * @param file the file name as given by the operator
	 * @param text the content of the file
	 * @param reader converts the root object to the value
	 * @return the value, or all faults of the file ordered by line
	 */
	public static <T> Either<List<ConfigFault>, T> read(String file, String text, Function<ConfigObject, T> reader) {
		FaultCollector faults = new FaultCollector(file);
		Optional<T> value = ConfigParser.parse(text, faults)
			.flatMap((root) -> ConfigObject.root(root, faults))
			.map((root) -> root.readStrictly(reader));
		if (value.isEmpty() || faults.count() > 0) {
			return Either.left(faults.sortedByLine());
		}
		return Either.right(value.get());
	}

	private static <T> Either<List<ConfigFault>, T> unreadable(Path file, String found) {
		return Either
			.left(List.of(new ConfigFault(file.toString(), 1, ConfigObject.ROOT_PATH, "a readable file", found)));
	}

}
