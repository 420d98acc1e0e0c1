package org.burdocktray.process.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;

import org.burdocktray.version.bundle.OperatorKeys;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Output and exit codes of the commands that need no platform.
 */
class CommandRunnerTests {

	private static final String SETTINGS = "../examples/settings.jsonc";

	private static final String BUNDLE = "../examples/bundle.jsonc";

	private final ByteArrayOutputStream out = new ByteArrayOutputStream();

	private final ByteArrayOutputStream err = new ByteArrayOutputStream();

	@Test
	void acceptsExampleFiles() {
		assertThat(run("settings", "check", SETTINGS)).isEqualTo(ExitCode.OK);
		assertThat(run("bundle", "validate", BUNDLE)).isEqualTo(ExitCode.OK);
		assertThat(run("bundle", "diff", BUNDLE, BUNDLE)).isEqualTo(ExitCode.OK);
		assertThat(this.err.size()).isZero();
	}

	@Test
	void printsFaultsToTheErrorOutput(@TempDir Path directory) throws IOException {
		Path file = Files.writeString(directory.resolve("b.jsonc"), "{\n\"version\": -1\n}");
		assertThat(run("bundle", "validate", file.toString())).isEqualTo(ExitCode.USAGE);
		assertThat(text(this.err)).startsWith(file + ":2: version: expected a whole number of at least 1");
	}

	@Test
	void printsFaultsAsJson() {
		assertThat(run("settings", "check", "--json", "absent.jsonc")).isEqualTo(ExitCode.USAGE);
		assertThat(text(this.out)).isEqualToIgnoringNewLines("{\"valid\":false,\"faults\":[{\"file\":\"absent.jsonc\","
				+ "\"line\":1,\"fieldPath\":\"$\",\"expected\":\"a readable file\",\"found\":\"no such file\"}]}");
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "dance", "bundle", "bundle dance", "bundle validate", "bundle validate a b",
			"bundle validate --jso x", "bundle keygen a/b", "bundle propose x", "bundle roll 1 d",
			"bundle roll --platform 127.0.0.1:1 0 d", "bundle show --platform here", "bundle show --version 1",
			"bundle approve --platform 127.0.0.1:1 --operator a --key absent 1 d", "status", "status --admin x" })
	void rejectsInvalidUsage(String arguments) {
		assertThat(run(arguments.isEmpty() ? new String[0] : arguments.split(" "))).isEqualTo(ExitCode.USAGE);
		assertThat(text(this.err)).isNotBlank();
	}

	@ParameterizedTest
	@ValueSource(strings = { "--help", "settings check --help", "bundle validate --help", "bundle diff --help",
			"bundle keygen --help", "bundle propose --help", "bundle approve --help", "bundle roll --help",
			"bundle show --help", "status --help" })
	void printsHelp(String arguments) {
		assertThat(run(arguments.split(" "))).isEqualTo(ExitCode.OK);
		assertThat(text(this.out)).startsWith("usage: burdocktray ");
	}

	@Test
	void createsPrivateKeyReadableOnlyByOwner(@TempDir Path directory) throws IOException {
		assertThat(run("bundle", "keygen", "--directory", directory.toString(), "els")).isEqualTo(ExitCode.OK);
		Path privateFile = directory.resolve("els.private");
		assertThat(PosixFilePermissions.toString(Files.getPosixFilePermissions(privateFile))).isEqualTo("rw-------");
		String publicKey = Files.readString(directory.resolve("els.public")).trim();
		assertThat(OperatorKeys.parsePublicKey(publicKey)).isPresent();
	}

	@Test
	void doesNotReplaceExistingKey(@TempDir Path directory) throws IOException {
		Path publicFile = Files.writeString(directory.resolve("els.public"), "kept");
		assertThat(run("bundle", "keygen", "--directory", directory.toString(), "els")).isEqualTo(ExitCode.REFUSED);
		assertThat(publicFile).hasContent("kept");
		assertThat(directory.resolve("els.private")).doesNotExist();
	}

	private ExitCode run(String... arguments) {
		return new CommandRunner(Main.commands()).run(arguments,
				new PrintStream(this.out, true, StandardCharsets.UTF_8),
				new PrintStream(this.err, true, StandardCharsets.UTF_8));
	}

	private static String text(ByteArrayOutputStream stream) {
		return stream.toString(StandardCharsets.UTF_8);
	}

}
