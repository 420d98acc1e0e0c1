import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with milliseconds since the start. */
final class Record {

	private static final long START_NANOS = System.nanoTime();

	private final PrintWriter out;

	Record(Path file) throws IOException {
		this.out = new PrintWriter(Files.newBufferedWriter(file), true);
	}

	static long millis() {
		return (System.nanoTime() - START_NANOS) / 1_000_000;
	}

	synchronized void add(String format, Object... values) {
		this.out.printf("%7d %s%n", millis(), String.format(format, values));
	}

}
