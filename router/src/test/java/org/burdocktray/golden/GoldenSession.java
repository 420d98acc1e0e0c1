package org.burdocktray.golden;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads and replays golden files. Lines that start with {@code #} are comments; lines
 * that start with {@code ->} are the expected output of the input line above them. Thread
 * safety: stateless.
 */
public final class GoldenSession {

	private static final Path ROOT = Path.of("src", "test", "resources", "golden");

	private static final String OUTPUT_PREFIX = "  -> ";

	private GoldenSession() {
	}

	/**
	 * Reads a golden file.
	 * @param name the path relative to the folder of golden files
	 * @return the text of the file
	 */
	public static String read(String name) {
		try {
			return Files.readString(ROOT.resolve(name), StandardCharsets.UTF_8);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Replays the inputs of a golden file.
	 * @param text the text of the golden file
	 * @param handler processes the input lines
	 * @return the text of the golden file with the actual output
	 */
	public static String replay(String text, InputHandler handler) {
		List<String> lines = new ArrayList<>();
		for (String line : text.split("\n")) {
			if (line.startsWith(OUTPUT_PREFIX)) {
				continue;
			}
			lines.add(line);
			if (!line.isBlank() && !line.startsWith("#")) {
				handler.handle(line).forEach((output) -> lines.add(OUTPUT_PREFIX + output));
			}
		}
		return String.join("\n", lines) + "\n";
	}

	/**
	 * Replaces the expected output of a golden file by the actual output. Only for
	 * {@code scripts/regenerate-golden}.
	 * @param name the path relative to the folder of golden files
	 * @param handler processes the input lines
	 */
	static void regenerate(String name, InputHandler handler) {
		try {
			Files.writeString(ROOT.resolve(name), replay(read(name), handler), StandardCharsets.UTF_8);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/** Processes input lines. */
	@FunctionalInterface
	public interface InputHandler {

		/**
		 * Processes an input line.
		 * @param line the input line
		 * @return the output lines
		 */
		List<String> handle(String line);

	}

}
