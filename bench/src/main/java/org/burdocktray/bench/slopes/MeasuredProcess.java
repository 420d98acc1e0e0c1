package org.burdocktray.bench.slopes;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A Java process whose resource usage is read from the operating system and the Java
 * virtual machine. Invariant: closing terminates this process only. Thread safety: none.
 */
final class MeasuredProcess implements AutoCloseable {

	private static final Pattern RESIDENT_KB = Pattern.compile("VmRSS:\\s+(\\d+) kB");

	private static final Pattern READ_OR_WRITTEN_BYTES = Pattern.compile("[rw]char: (\\d+)");

	private static final Pattern HEAP_USED_KB = Pattern.compile("(?:total \\d+K, used|used) (\\d+)K");

	private static final int USER_TICKS_FIELD_INDEX = 11;

	private static final double SECONDS_PER_TICK = 0.01;

	private static final int BYTES_PER_KB = 1024;

	private final Process process;

	MeasuredProcess(List<String> javaArguments, Path output, Path errors) {
		List<String> command = new ArrayList<>();
		command.add(javaToolPath("java"));
		command.addAll(javaArguments);
		try {
			this.process = new ProcessBuilder(command).redirectOutput(output.toFile())
				.redirectError(errors.toFile())
				.start();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	boolean isAlive() {
		return this.process.isAlive();
	}

	/**
	 * Returns the processor time used since the start, in user and kernel mode.
	 * @return the time in seconds, with a resolution of 10 ms
	 */
	double processorSeconds() {
		String stat = readProcFile("stat");
		String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
		long ticks = Long.parseLong(fields[USER_TICKS_FIELD_INDEX])
				+ Long.parseLong(fields[USER_TICKS_FIELD_INDEX + 1]);
		return ticks * SECONDS_PER_TICK;
	}

	long residentBytes() {
		return sum(RESIDENT_KB, readProcFile("status")) * BYTES_PER_KB;
	}

	/**
	 * Returns the bytes read and written since the start, on sockets and files.
	 * @return the bytes
	 */
	long transferredBytes() {
		return sum(READ_OR_WRITTEN_BYTES, readProcFile("io"));
	}

	/**
	 * Runs a full garbage collection and returns the heap in use afterwards.
	 * @return the bytes
	 */
	long liveHeapBytes() {
		runJcmd("GC.run");
		String info = runJcmd("GC.heap_info");
		String heap = info.split("Metaspace")[0];
		return sum(HEAP_USED_KB, heap) * BYTES_PER_KB;
	}

	private String readProcFile(String file) {
		try {
			return Files.readString(Path.of("/proc", String.valueOf(this.process.pid()), file));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private String runJcmd(String command) {
		try {
			Process tool = new ProcessBuilder(javaToolPath("jcmd"), String.valueOf(this.process.pid()), command)
				.start();
			return new String(tool.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static long sum(Pattern pattern, String text) {
		long sum = 0;
		Matcher matcher = pattern.matcher(text);
		while (matcher.find()) {
			sum += Long.parseLong(matcher.group(1));
		}
		return sum;
	}

	private static String javaToolPath(String name) {
		return Path.of(System.getProperty("java.home"), "bin", name).toString();
	}

	@Override
	public void close() {
		this.process.destroyForcibly().onExit().join();
	}

}
