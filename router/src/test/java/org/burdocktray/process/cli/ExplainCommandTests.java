package org.burdocktray.process.cli;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

class ExplainCommandTests {

	private static final String LINE = "{\"timestamp\":\"2026-01-01T00:00:00Z\",\"hostName\":\"vm-1\",\"message\":"
			+ "\"Request ended: request=r1 status=200 ran=yes millis=5 cause=answered by i-1\"}";

	private final ByteArrayOutputStream out = new ByteArrayOutputStream();

	private final ByteArrayOutputStream err = new ByteArrayOutputStream();

	@Test
	void readsLogFiles(@TempDir Path directory) throws IOException {
		Path log = Files.writeString(directory.resolve("vm-1.log"), "no log line\n" + LINE + "\n");
		assertThat(run("", "explain", "--log", log.toString(), "r1")).isEqualTo(ExitCode.OK);
		assertThat(this.out.toString(StandardCharsets.UTF_8))
			.startsWith("It was answered with status 200 after 5 ms; it ran.");
	}

	@Test
	void readsStandardInputAndPrintsJson() {
		assertThat(run(LINE, "explain", "--json", "r1")).isEqualTo(ExitCode.OK);
		assertThat(this.out.toString(StandardCharsets.UTF_8))
			.startsWith("{\"request\":\"r1\",\"cause\":\"It was answered");
	}

	@Test
	void reportsInvalidUsage(@TempDir Path directory) {
		assertThat(run(LINE, "explain")).isEqualTo(ExitCode.USAGE);
		assertThat(run(LINE, "explain", "r2")).isEqualTo(ExitCode.USAGE);
		assertThat(run(LINE, "explain", "--log", directory.resolve("none").toString(), "r1")).isEqualTo(ExitCode.USAGE);
		assertThat(this.err.toString(StandardCharsets.UTF_8)).contains("expected 1 argument")
			.contains("no log line names the request r2")
			.contains("--log: can't be read");
	}

	private ExitCode run(String input, String... arguments) {
		ExplainCommand command = new ExplainCommand(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)));
		return new CommandRunner(List.of(command)).run(arguments,
				new PrintStream(this.out, true, StandardCharsets.UTF_8),
				new PrintStream(this.err, true, StandardCharsets.UTF_8));
	}

}
