package org.burdocktray.golden;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A golden file. Lines that start with {@code #} are comments, lines that start with
 * {@code ->} are the expected output of the line of input above them. Thread safety:
 * stateless.
 */
public final class GoldenSession {

	private static final Path ROOT = Path.of("src", "test", "resources", "golden");

	private static final String OUTPUT_MARK = "  -> ";

	private GoldenSession() {
	}

	/**
	 * Reads a golden file.
	 * @param name the path below the folder of golden files
	 * @return its text
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
	 * Runs the inputs of a golden file again.
	 * @param text the text of the golden file
	 * @param player takes one input line and gives the output lines
	 * @return the text with the output the player gave
	 */
	public static String replay(String text, InputHandler player) {
		List<String> lines = new ArrayList<>();
		for (String line : text.split("\n")) {
			if (line.startsWith(OUTPUT_MARK)) {
				continue;
			}
			lines.add(line);
			if (!line.isBlank() && !line.startsWith("#")) {
				player.handle(line).forEach((output) -> lines.add(OUTPUT_MARK + output));
			}
		}
		return String.join("\n", lines) + "\n";
	}

	/**
	 * Writes a golden file anew. Only for {@code scripts/regenerate-golden}.
	 * @param name the path below the folder of golden files
	 * @param player takes one input line and gives the output lines
	 */
	static void regenerate(String name, InputHandler player) {
		try {
			Files.writeString(ROOT.resolve(name), replay(read(name), player), StandardCharsets.UTF_8);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/** Takes one input line and gives the output lines. */
	@FunctionalInterface
	public interface InputHandler {

		/**
		 * Plays a line.
		 * @param line the input
		 * @return the output
		 */
		List<String> handle(String line);

	}

}
