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
import org.burdocktray.process.burn.HtmlBurnReportWriter;
import org.burdocktray.process.burn.JsonBurnReportWriter;
import org.burdocktray.process.burn.TextBurnReportWriter;
import org.burdocktray.version.bundle.Bundle;
import org.burdocktray.version.bundle.BundleReader;
import org.burdocktray.version.config.ConfigFault;
import org.burdocktray.version.signing.SignedBundle;
import org.burdocktray.version.signing.VerifiedBundle;

/**
 * Reports the burn rates and remaining error budgets of all objectives. Thread safety:
 * stateless.
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
		return ScrapeSources.addOptionsTo(PlatformAccess.options())
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
		Either<String, ScrapeSources> sources = ScrapeSources.fromOptions(line);
		if (sources.isLeft()) {
			return OperationReport.printUsageFault(sources.getLeft(), line, out, err);
		}
		if (line.hasOption(BUNDLE_OPTION)) {
			Either<List<ConfigFault>, Bundle> bundle = BundleReader.read(Path.of(line.getOptionValue(BUNDLE_OPTION)));
			if (bundle.isLeft()) {
				JsonOutput.printFaults(bundle.getLeft(), line, out, err);
				return ExitCode.USAGE;
			}
			return report(sources.get(), bundle.get(), line, out, err);
		}
		Either<String, PlatformAccess> access = PlatformAccess.fromOptions(line);
		if (access.isLeft()) {
			return OperationReport.printUsageFault(access.getLeft() + ", or --bundle", line, out, err);
		}
		return readNewestBundle(access.get()).fold((failure) -> printFailure(failure, line, out, err),
				(bundle) -> report(sources.get(), bundle, line, out, err));
	}

	private static ExitCode printFailure(OperationFailure failure, CommandLine line, PrintStream out, PrintStream err) {
		// REFUSED and ALERT_BURNS have the same exit status. A refusal is reported as a
		// usage fault here, so that it is not mistaken for an alert.
		if (failure.kind() == OperationFailure.Kind.REFUSED) {
			return OperationReport.printUsageFault(failure.detail(), line, out, err);
		}
		return OperationReport.printFailure(failure, "bundle show", line, out, err);
	}

	private static ExitCode report(ScrapeSources sources, Bundle bundle, CommandLine line, PrintStream out,
			PrintStream err) {
		CollectedScrapes collected = new CollectedScrapes();
		try {
			collectScrapes(sources, collected);
			if (collected.scrapes().isEmpty()) {
				collected.notes().forEach((note) -> err.println(note.subject() + ": " + note.detail()));
				err.println("no usable scrape");
				return ExitCode.NOTHING_REACHABLE;
			}
			BurnReport report = new BurnAssessment(bundle.version(), bundle.objectives()).assess(
					new FleetCounters(sources.expectedVmNames(), sources.retiredVms(), collected.scrapes()),
					collected.asOfMillis(), collected.notes());
			if (line.hasOption(HTML_OPTION)) {
				Files.writeString(Path.of(line.getOptionValue(HTML_OPTION)), new HtmlBurnReportWriter().write(report));
			}
			BurnReportWriter writer = JsonOutput.isRequested(line) ? new JsonBurnReportWriter()
					: new TextBurnReportWriter();
			out.print(writer.write(report));
			return (report.count(BurnAlert.State.BURNING) > 0) ? ExitCode.ALERT_BURNS : ExitCode.OK;
		}
		catch (IOException ex) {
			return OperationReport.printUsageFault(ex.getMessage() + ": can't be read or written", line, out, err);
		}
	}

	private static void collectScrapes(ScrapeSources sources, CollectedScrapes collected) throws IOException {
		if (sources.savedScrapes().isPresent()) {
			sources.savedScrapes().get().readInto(collected);
		}
		if (!sources.adminAddresses().isEmpty()) {
			new AdminScraper(sources.adminAddresses(), sources.saveDirectory(), System::currentTimeMillis)
				.scrapeInto(sources.scrapeCount(), sources.intervalSeconds(), collected);
		}
	}

	private static Either<OperationFailure, Bundle> readNewestBundle(PlatformAccess access) {
		Either<OperationFailure, Optional<SignedBundle>> rolled = access
			.runBundleOperation(BundleOperations::findNewest);
		return rolled.flatMap((found) -> found.map((signed) -> verifyBundle(access, signed))
			.orElseGet(() -> Either.left(createRefusal("no bundle is rolled"))));
	}

	private static Either<OperationFailure, Bundle> verifyBundle(PlatformAccess access, SignedBundle signed) {
		return BundleReader.read("rolled bundle", signed.content())
			.mapLeft((faults) -> createRefusal(faults.get(0).toString()))
			.flatMap((content) -> TrustedOperators.createVerifier(access, content)
				.verify(signed)
				.bimap(ReportBurnCommand::createRefusal, VerifiedBundle::bundle));
	}

	private static OperationFailure createRefusal(String detail) {
		return new OperationFailure(OperationFailure.Kind.REFUSED, detail);
	}

}
