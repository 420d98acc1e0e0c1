package org.burdocktray.standins.network;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/**
 * What a process on this machine uses, as Linux tells it. Thread safety: thread-safe.
 */
public final class ProcessUse {

	private static final long KILOBYTE = 1_024;

	private final Path directory;

	private int maxDescriptors;

	/**
	 * Watches a process.
	 * @param pid its id
	 */
	public ProcessUse(long pid) {
		this.directory = Path.of("/proc", String.valueOf(pid));
	}

	/**
	 * Returns the largest resident memory that the process has had.
	 * @return bytes, 0 after its end
	 */
	public long peakMemoryBytes() {
		try (Stream<String> lines = Files.lines(this.directory.resolve("status"))) {
			return lines.filter((line) -> line.startsWith("VmHWM:"))
				.mapToLong((line) -> Long.parseLong(line.replaceAll("\\D", "")) * KILOBYTE)
				.sum();
		}
		catch (IOException | UncheckedIOException ex) {
			return 0;
		}
	}

	/** Counts the open descriptors. */
	public synchronized void sampleDescriptors() {
		String[] names = this.directory.resolve("fd").toFile().list();
		this.maxDescriptors = Math.max(this.maxDescriptors, (names != null) ? names.length : 0);
	}

	/**
	 * Returns the largest number of open descriptors that was counted.
	 * @return the number
	 */
	public synchronized int maxDescriptors() {
		return this.maxDescriptors;
	}

}
