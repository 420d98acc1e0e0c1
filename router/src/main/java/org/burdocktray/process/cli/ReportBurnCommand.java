package org.burdocktray.process.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import io.vavr.control.Either;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.burdocktray.process.bundle.BundleOperations;
import org.burdocktray.process.bundle.OperationFailure;
import org.burdocktray.process.burn.BurnAlert;
import org.burdocktray.process.burn.BurnAssessment;
import org.burdocktray.process.burn.BurnReport;
import org.burdocktray.process.burn.BurnReportWriter;
import org.burdocktray.process.burn.FleetCounters;
import org.burdocktray.process.burn.HtmlBurnReport;
import org.burdocktray.process.burn.JsonBurnReport;
import org.burdocktray.process.burn.TextBurnReport;
import org.burdocktray.version.bundle.Bundle;
import org.burdocktray.version.bundle.BundleReader;
import org.burdocktray.version.config.ConfigFault;
import org.burdocktray.version.signing.SignedBundle;
import org.burdocktray.version.signing.VerifiedBundle;

/**
 * Reports how fast error budgets burn. Thread safety: stateless.
 */
final class ReportBurnCommand implements Command {

	private static final String BUNDLE_OPTION = "bundle";

	private static final String HTML_OPTION = "html";

	@Override
	public String name() {
		return "report burn";
	}

	@Override
	public String arguments() {
		return "";
	}

	@Override
	public String summary() {
		return "Report how fast error budgets burn; exits with 1 when an alert condition burns.";
	}

	@Override
	public Options options() {
		return BurnSources.addTo(PlatformAccess.options())
			.addOption(Option.builder()
				.longOpt(BUNDLE_OPTION)
				.hasArg()
				.argName("FILE")
				.desc("The bundle that defines the objectives; by default the newest rolled one.")
				.get())
			.addOption(Option.builder()
				.longOpt(HTML_OPTION)
				.hasArg()
				.argName("FILE")
				.desc("Write one HTML page with charts too.")
				.get());
	}

	@Override
	public ExitCode run(CommandLine line, PrintStream out, PrintStream err) {
		Either<String, BurnSources> sources = BurnSources.of(line);
		if (sources.isLeft()) {
			return OperationReport.printUsage(sources.getLeft(), line, out, err);
		}
		if (line.hasOption(BUNDLE_OPTION)) {
			Either<List<ConfigFault>, Bundle> bundle = BundleReader.read(Path.of(line.getOptionValue(BUNDLE_OPTION)));
			if (bundle.isLeft()) {
				JsonOutput.printFaults(bundle.getLeft(), line, out, err);
				return ExitCode.USAGE;
			}
			return report(sources.get(), bundle.get(), line, out, err);
		}
		Either<String, PlatformAccess> access = PlatformAccess.of(line);
		if (access.isLeft()) {
			return OperationReport.printUsage(access.getLeft() + ", or --bundle", line, out, err);
		}
		return newest(access.get()).fold((failure) -> printFailure(failure, line, out, err),
				(bundle) -> report(sources.get(), bundle, line, out, err));
	}

	private static ExitCode printFailure(OperationFailure failure, CommandLine line, PrintStream out, PrintStream err) {
		// A refusal must not look like an alert, which has the same exit code elsewhere.
		if (failure.kind() == OperationFailure.Kind.REFUSED) {
			return OperationReport.printUsage(failure.detail(), line, out, err);
		}
		return OperationReport.printFailure(failure, "bundle show", line, out, err);
	}

	private static ExitCode report(BurnSources sources, Bundle bundle, CommandLine line, PrintStream out,
			PrintStream err) {
		CollectedScrapes found = new CollectedScrapes();
		try {
			collect(sources, found);
			if (found.scrapes().isEmpty()) {
				found.notes().forEach((note) -> err.println(note.subject() + ": " + note.detail()));
				err.println("no usable scrape");
				return ExitCode.NOTHING_REACHABLE;
			}
			BurnReport report = new BurnAssessment(bundle.version(), bundle.objectives()).assess(
					new FleetCounters(sources.expectedVms(), sources.retiredVms(), found.scrapes()), found.asOfMillis(),
					found.notes());
			if (line.hasOption(HTML_OPTION)) {
				Files.writeString(Path.of(line.getOptionValue(HTML_OPTION)), new HtmlBurnReport().write(report));
			}
			BurnReportWriter writer = JsonOutput.isWanted(line) ? new JsonBurnReport() : new TextBurnReport();
			out.print(writer.write(report));
			return (report.count(BurnAlert.State.BURNING) > 0) ? ExitCode.ALERT_BURNS : ExitCode.OK;
		}
		catch (IOException ex) {
			return OperationReport.printUsage(ex.getMessage() + ": can't be read or written", line, out, err);
		}
	}

	private static void collect(BurnSources sources, CollectedScrapes found) throws IOException {
		if (sources.saved().isPresent()) {
			sources.saved().get().readInto(found);
		}
		if (!sources.admins().isEmpty()) {
			new AdminScraper(sources.admins(), sources.saveTo(), System::currentTimeMillis).scrapeInto(sources.times(),
					sources.everySeconds(), found);
		}
	}

	private static Either<OperationFailure, Bundle> newest(PlatformAccess access) {
		Either<OperationFailure, Optional<SignedBundle>> rolled = access.call(BundleOperations::findNewest);
		return rolled.flatMap((found) -> found.map((signed) -> verify(access, signed))
			.orElseGet(() -> Either.left(refused("no bundle is rolled"))));
	}

	private static Either<OperationFailure, Bundle> verify(PlatformAccess access, SignedBundle signed) {
		return BundleReader.read("rolled bundle", signed.content())
			.mapLeft((faults) -> refused(faults.get(0).toString()))
			.flatMap((content) -> TrustedOperators.verifier(access, content)
				.verify(signed)
				.bimap(ReportBurnCommand::refused, VerifiedBundle::bundle));
	}

	private static OperationFailure refused(String detail) {
		return new OperationFailure(OperationFailure.Kind.REFUSED, detail);
	}

}
