package org.burdocktray.process.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Output and exit codes of the commands that propose, approve, roll and show bundles.
 */
class BundleCommandsTests {

	private static final Pattern DIGEST = Pattern.compile("digest ([0-9a-f]{64})");

	private static final String UNUSED_ADDRESS = "127.0.0.1:1";

	private final FakePlatformServer platform = new FakePlatformServer();

	private final ByteArrayOutputStream out = new ByteArrayOutputStream();

	private final ByteArrayOutputStream err = new ByteArrayOutputStream();

	@TempDir
	private Path directory;

	@BeforeEach
	void createKeyPairs() {
		run("bundle", "keygen", "--directory", this.directory.toString(), "els");
		run("bundle", "keygen", "--directory", this.directory.toString(), "jan");
	}

	@AfterEach
	void stopPlatform() {
		this.platform.close();
	}

	@Test
	void rollsApprovedBundleAndAllowsRepeatedRoll() throws IOException {
		String digest = propose("els", 1, "a");
		assertThat(runSigned("approve", "jan", "1", digest)).isEqualTo(ExitCode.OK);
		assertThat(roll("1", digest)).isEqualTo(ExitCode.OK);
		assertThat(roll("1", digest)).isEqualTo(ExitCode.OK);
		assertThat(run("bundle", "show", "--platform", this.platform.address())).isEqualTo(ExitCode.OK);
		assertThat(text(this.out)).endsWith("rolled: version 1 digest " + digest + System.lineSeparator()
				+ "proposed by els, approved by jan" + System.lineSeparator());
	}

	@Test
	void reportsRolledBundleToLoserOfRace() throws IOException {
		String first = propose("els", 1, "a");
		String second = propose("jan", 1, "b");
		runSigned("approve", "jan", "1", first);
		runSigned("approve", "els", "1", second);
		assertThat(roll("1", second)).isEqualTo(ExitCode.OK);
		assertThat(roll("1", first)).isEqualTo(ExitCode.LOST_RACE);
		assertThat(text(this.err)).contains(second, "proposed by jan", "approved by els");
	}

	@Test
	void refusesUnapprovedAndSelfApprovedBundles() throws IOException {
		String digest = propose("els", 1, "a");
		assertThat(roll("1", digest)).isEqualTo(ExitCode.REFUSED);
		assertThat(runSigned("approve", "els", "1", digest)).isEqualTo(ExitCode.REFUSED);
		assertThat(roll("2", digest)).isEqualTo(ExitCode.REFUSED);
	}

	@Test
	void resolvesLostResponseByReadingBack() throws IOException {
		String digest = propose("els", 1, "a");
		runSigned("approve", "jan", "1", digest);
		this.platform.loseResponsesToWrites(Integer.MAX_VALUE);
		assertThat(roll("1", digest)).isEqualTo(ExitCode.OK);
	}

	@Test
	void reportsUnknownOutcomeAndCommandToCheckIt() throws IOException {
		String digest = propose("els", 1, "a");
		runSigned("approve", "jan", "1", digest);
		this.platform.dropWrites();
		assertThat(roll("1", digest)).isEqualTo(ExitCode.PLATFORM_UNAVAILABLE);
		assertThat(text(this.err)).contains("not known", "burdocktray bundle show --version 1");
	}

	@Test
	void reportsUnreachablePlatformAndVm() {
		assertThat(run("bundle", "show", "--platform", UNUSED_ADDRESS)).isEqualTo(ExitCode.PLATFORM_UNAVAILABLE);
		assertThat(run("status", "--admin", UNUSED_ADDRESS)).isEqualTo(ExitCode.REFUSED);
	}

	private String propose(String operator, long version, String modelVersion) throws IOException {
		Path file = Files.writeString(this.directory.resolve(modelVersion + ".jsonc"), content(version, modelVersion));
		assertThat(runSigned("propose", operator, file.toString())).isEqualTo(ExitCode.OK);
		Matcher digest = DIGEST.matcher(text(this.out).substring(text(this.out).lastIndexOf("proposed:")));
		assertThat(digest.find()).isTrue();
		return digest.group(1);
	}

	private String content(long version, String modelVersion) throws IOException {
		return """
				{"version": %d, "models": [{"name": "m", "modelVersion": "%s", "layers": 1,
				"activationBytesPerToken": 1, "maxOutputTokens": 1}], "engines": [{"name": "e", "dataCentre": "d",
				"address": "127.0.0.1:1", "model": "m", "fromLayer": 0, "toLayer": 1, "acceleratorKind": "a",
				"tokensPerSecond": 1, "maxConcurrentStreams": 1}], "organisations": [],
				"operators": [{"name": "els", "publicKey": "%s"}, {"name": "jan", "publicKey": "%s"}]}"""
			.formatted(version, modelVersion, publicKey("els"), publicKey("jan"));
	}

	private String publicKey(String operator) throws IOException {
		return Files.readString(this.directory.resolve(operator + ".public")).trim();
	}

	private ExitCode runSigned(String action, String operator, String... arguments) {
		String[] commandLine = new String[8 + arguments.length];
		String key = this.directory.resolve(operator + ".private").toString();
		System.arraycopy(new String[] { "bundle", action, "--platform", this.platform.address(), "--operator", operator,
				"--key", key }, 0, commandLine, 0, 8);
		System.arraycopy(arguments, 0, commandLine, 8, arguments.length);
		return run(commandLine);
	}

	private ExitCode roll(String version, String digest) {
		return run("bundle", "roll", "--platform", this.platform.address(), version, digest);
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
