package org.burdocktray.process.cli;

import java.io.PrintStream;
import java.util.Optional;
import java.util.OptionalLong;

import io.reactivex.rxjava3.core.Single;
import io.vavr.control.Either;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.burdocktray.process.bundle.BundleOperations;
import org.burdocktray.process.bundle.OperationFailure;
import org.burdocktray.version.signing.SignedBundle;

/**
 * Shows a rolled bundle or the state of a proposal. Thread safety: stateless.
 */
final class BundleShowCommand implements Command {

	private static final String VERSION_OPTION = "version";

	private static final String DIGEST_OPTION = "digest";

	private static final String CONTENT_OPTION = "content";

	@Override
	public String name() {
		return "bundle show";
	}

	@Override
	public String arguments() {
		return "";
	}

	@Override
	public String summary() {
		return "Show the rolled bundle, or that of a version, or a proposal.";
	}

	@Override
	public Options options() {
		return PlatformAccess.options()
			.addOption(Option.builder()
				.longOpt(VERSION_OPTION)
				.hasArg()
				.argName("N")
				.desc("The version; the newest rolled one by default.")
				.get())
			.addOption(Option.builder()
				.longOpt(DIGEST_OPTION)
				.hasArg()
				.argName("DIGEST")
				.desc("With --version: the proposal with this digest.")
				.get())
			.addOption(Option.builder().longOpt(CONTENT_OPTION).desc("Print the content of a rolled bundle.").get());
	}

	@Override
	public ExitCode run(CommandLine line, PrintStream out, PrintStream err) {
		OptionalLong version = VersionArgument.parse(line.getOptionValue(VERSION_OPTION, ""));
		if (version.isEmpty() && (line.hasOption(VERSION_OPTION) || line.hasOption(DIGEST_OPTION))) {
			return OperationReport.printUsageFault(
					VersionArgument.faultMessage(line.getOptionValue(VERSION_OPTION, "none")), line, out, err);
		}
		Either<String, PlatformAccess> access = PlatformAccess.fromOptions(line);
		if (access.isLeft()) {
			return OperationReport.printUsageFault(access.getLeft(), line, out, err);
		}
		if (line.hasOption(DIGEST_OPTION)) {
			return showProposal(access.get(), version.getAsLong(), line, out, err);
		}
		Either<OperationFailure, Optional<SignedBundle>> rolled = access.get()
			.runBundleOperation((operations) -> version.isEmpty() ? operations.findNewest()
					: operations.readRolled(version.getAsLong()));
		return rolled.fold((failure) -> OperationReport.printFailure(failure, "bundle show", line, out, err),
				(found) -> print(found, line, out, err));
	}

	private static ExitCode print(Optional<SignedBundle> found, CommandLine line, PrintStream out, PrintStream err) {
		if (found.isEmpty()) {
			return OperationReport.printFailure(
					new OperationFailure(OperationFailure.Kind.REFUSED, "no such bundle is rolled"), "bundle show",
					line, out, err);
		}
		if (line.hasOption(CONTENT_OPTION)) {
			out.println(found.get().content());
			return ExitCode.OK;
		}
		return OperationReport.of("rolled", found.get()).print(line, out);
	}

	private static ExitCode showProposal(PlatformAccess access, long version, CommandLine line, PrintStream out,
			PrintStream err) {
		String digest = line.getOptionValue(DIGEST_OPTION);
		Either<OperationFailure, OperationReport> report = access
			.runBundleOperation((operations) -> describe(operations, version, digest));
		return report.fold((failure) -> OperationReport.printFailure(failure, "bundle show", line, out, err),
				(found) -> found.print(line, out));
	}

	private static Single<Either<OperationFailure, OperationReport>> describe(BundleOperations operations, long version,
			String digest) {
		return Single.zip(operations.readProposal(version, digest), operations.readApproval(version, digest),
				(proposal, approval) -> proposal.flatMap((proposed) -> approval
					.map((found) -> new OperationReport(found.isPresent() ? "approved" : "proposed", version, digest,
							proposed.proposer(), found.map((signed) -> signed.approver()).orElse("")))));
	}

}
