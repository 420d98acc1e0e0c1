package org.burdocktray.process.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import org.burdocktray.process.burn.BurnNote;
import org.burdocktray.process.burn.ScrapeReader;

/**
 * A directory of saved scrapes. It has one subdirectory for each VM, which contains one
 * file for each scrape, named after the time of the scrape. Invariant: a file with its
 * final name is complete. Thread safety: immutable.
 *
 * @param directory the root directory
 */
record ScrapeDirectory(Path directory) {

	private static final Pattern FILE_NAME = Pattern.compile("(\\d{1,15})\\.prom");

	/**
	 * Reads all scrapes.
	 * @param collected receives the scrapes and notes on unusable files
	 * @throws IOException if a file or directory cannot be read
	 */
	void readInto(CollectedScrapes collected) throws IOException {
		for (Path vm : sortedEntries(this.directory)) {
			if (!Files.isDirectory(vm)) {
				continue;
			}
			for (Path file : sortedEntries(vm)) {
				readFile(vm.getFileName().toString(), file, collected);
			}
		}
	}

	/**
	 * Saves a scrape.
	 * @param vm the name under which the VM was scraped
	 * @param timeMillis the time of the scrape, in milliseconds since 1970
	 * @param text the metrics
	 * @throws IOException if the file cannot be written
	 */
	void save(String vm, long timeMillis, String text) throws IOException {
		Path target = Files.createDirectories(this.directory.resolve(vm)).resolve(timeMillis + ".prom");
		Path temporaryFile = Files.writeString(target.resolveSibling(timeMillis + ".new"), text);
		Files.move(temporaryFile, target, StandardCopyOption.ATOMIC_MOVE);
	}

	private static void readFile(String vm, Path file, CollectedScrapes collected) throws IOException {
		Matcher name = FILE_NAME.matcher(file.getFileName().toString());
		if (!name.matches()) {
			return;
		}
		// Replaces malformed bytes, so that a corrupt file leads to a note instead of
		// ending the report.
		String text = new String(Files.readAllBytes(file), StandardCharsets.UTF_8);
		ScrapeReader.read(vm, Long.parseLong(name.group(1)), text)
			.peek(collected::add)
			.peekLeft((problem) -> collected.addNote(BurnNote.Kind.SCRAPE_LEFT_OUT, vm + "/" + file.getFileName(),
					problem));
	}

	private static List<Path> sortedEntries(Path directory) throws IOException {
		try (Stream<Path> entries = Files.list(directory)) {
			return entries.sorted().toList();
		}
	}

}
