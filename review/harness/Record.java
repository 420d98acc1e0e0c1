package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a run: what was sent, answered and run, with the seconds since its start. */
final class Record implements AutoCloseable {

	private final long startNanos = System.nanoTime();

	private final PrintWriter out;

	Record(Path file) throws IOException {
		this.out = new PrintWriter(Files.newBufferedWriter(file));
	}

	synchronized void write(String what, String requestId, String detail) {
		this.out.printf(Locale.ROOT, "%8.3f %-8s %-12s %s%n", seconds(), what, requestId, detail);
	}

	synchronized void note(String text) {
		write("note", "-", text);
		this.out.flush();
		System.out.printf(Locale.ROOT, "%8.3f %s%n", seconds(), text);
	}

	double seconds() {
		return (System.nanoTime() - this.startNanos) / 1e9;
	}

	@Override
	public synchronized void close() {
		this.out.close();
	}

}
