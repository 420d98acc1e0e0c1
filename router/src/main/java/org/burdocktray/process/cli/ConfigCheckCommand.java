package org.burdocktray.process.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.ServiceLoader;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.burdocktray.process.serve.gateway.GatewayPlatform;
import org.burdocktray.version.rules.check.RulesBounds;
import org.burdocktray.version.rules.check.RulesCheck;
import org.burdocktray.version.rules.check.RulesComparison;
import org.burdocktray.version.rules.check.RulesDifference;
import org.burdocktray.version.rules.check.RulesDocument;
import org.burdocktray.version.rules.check.RulesFinding;
import org.burdocktray.version.rules.check.RulesFinding.Severity;

/**
 * Checks rules that operators are about to write to the platform's store. Never writes.
 * Thread safety: stateless.
 */
final class ConfigCheckCommand implements Command {

	private static final String AGAINST_OPTION = "against";

	private static final String STRICT_OPTION = "strict";

	@Override
	public String name() {
		return "config check";
	}

	@Override
	public String arguments() {
		return "FILE";
	}

	@Override
	public String summary() {
		return "Check the rules of the gateways before they are written to the store.";
	}

	@Override
	public Options options() {
		return new Options()
			.addOption(Option.builder()
				.longOpt(AGAINST_OPTION)
				.hasArg()
				.argName("FILE")
				.desc("Show what differs from the rules of this file.")
				.get())
			.addOption(Option.builder().longOpt(STRICT_OPTION).desc("Exit with 1 if there are warnings.").get());
	}

	@Override
	public ExitCode run(CommandLine line, PrintStream out, PrintStream err) {
		Optional<GatewayPlatform> platform = ServiceLoader.load(GatewayPlatform.class).findFirst();
		if (platform.isEmpty()) {
			err.println("burdocktray config check: this program is built without a platform");
			return ExitCode.USAGE;
		}
		String file = line.getArgList().get(0);
		Optional<String> otherFile = Optional.ofNullable(line.getOptionValue(AGAINST_OPTION));
		try {
			RulesDocument document = read(platform.get(), file);
			Optional<RulesDocument> other = otherFile.isPresent() ? Optional.of(read(platform.get(), otherFile.get()))
					: Optional.empty();
			return check(document, other, bounds(platform.get()), line, out);
		}
		catch (IOException ex) {
			err.println("burdocktray config check: file cannot be read: " + ex.getMessage());
			return ExitCode.USAGE;
		}
	}

	private static RulesDocument read(GatewayPlatform platform, String file) throws IOException {
		return platform.rulesReader().read(Files.readString(Path.of(file)));
	}

	// Operators' machines have no settings of a gateway.
	private static RulesBounds bounds(GatewayPlatform platform) {
		return platform.readSettings()
			.map((settings) -> new RulesBounds(settings.bounds().retryRatio(), settings.size().memoryBytes()))
			.getOrElse(RulesBounds.TYPICAL);
	}

	private static ExitCode check(RulesDocument document, Optional<RulesDocument> other, RulesBounds bounds,
			CommandLine line, PrintStream out) {
		List<RulesFinding> findings = new ArrayList<>(RulesCheck.check(document, bounds));
		other.ifPresent((before) -> findings.addAll(RulesComparison.check(before, document)));
		List<RulesDifference> differences = other.map((before) -> RulesComparison.compare(before, document))
			.orElse(List.of());
		boolean hasErrors = findings.stream().anyMatch((finding) -> finding.severity() == Severity.ERROR);
		if (JsonOutput.isRequested(line)) {
			JsonOutput.print(new Result(!hasErrors, findings, differences), out);
		}
		else {
			print(line.getArgList().get(0), findings, differences, out);
		}
		if (hasErrors) {
			return ExitCode.USAGE;
		}
		return (line.hasOption(STRICT_OPTION) && !findings.isEmpty()) ? ExitCode.REFUSED : ExitCode.OK;
	}

	private static void print(String file, List<RulesFinding> findings, List<RulesDifference> differences,
			PrintStream out) {
		findings.forEach((finding) -> out.println(file + ":" + finding.line() + ": " + finding.field() + ": "
				+ ((finding.severity() == Severity.ERROR) ? "error: " : "warning: ") + finding.message()));
		differences.forEach(out::println);
		if (findings.isEmpty()) {
			out.println(file + ": no faults");
		}
	}

	/**
	 * The result as JSON. Thread safety: immutable.
	 *
	 * @param valid whether there are no errors
	 * @param findings errors and warnings
	 * @param differences what differs from the other file
	 */
	record Result(boolean valid, List<RulesFinding> findings, List<RulesDifference> differences) {

	}

}
