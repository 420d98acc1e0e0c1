package org.burdocktray.process.cli;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;

import io.vavr.control.Either;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.burdocktray.process.bundle.OperationFailure;
import org.burdocktray.version.bundle.Bundle;
import org.burdocktray.version.bundle.BundleReader;
import org.burdocktray.version.bundle.BundleWriter;
import org.burdocktray.version.config.ConfigFault;
import org.burdocktray.version.signing.BundleProposal;
import org.burdocktray.version.signing.BundleSigner;

/**
 * Proposes a bundle. Stores the canonical text of the bundle without comments, so that
 * equal bundles have equal digests. Thread safety: stateless.
 */
final class BundleProposeCommand implements Command {

	@Override
	public String name() {
		return "bundle propose";
	}

	@Override
	public String arguments() {
		return "FILE";
	}

	@Override
	public String summary() {
		return "Sign a bundle and store it as a proposal for the version that it names.";
	}

	@Override
	public Options options() {
		return OperatorIdentity.addOptionsTo(PlatformAccess.options());
	}

	@Override
	public ExitCode run(CommandLine line, PrintStream out, PrintStream err) {
		Either<List<ConfigFault>, Bundle> bundle = BundleReader.read(Path.of(line.getArgList().get(0)));
		if (bundle.isLeft()) {
			JsonOutput.printFaults(bundle.getLeft(), line, out, err);
			return ExitCode.USAGE;
		}
		Either<String, PlatformAccess> access = PlatformAccess.fromOptions(line);
		Either<String, BundleSigner> signer = OperatorIdentity.readSigner(line);
		if (access.isLeft() || signer.isLeft()) {
			return OperationReport.printUsageFault(access.isLeft() ? access.getLeft() : signer.getLeft(), line, out,
					err);
		}
		return propose(access.get(), signer.get(), bundle.get(), line, out, err);
	}

	private static ExitCode propose(PlatformAccess access, BundleSigner signer, Bundle bundle, CommandLine line,
			PrintStream out, PrintStream err) {
		BundleProposal proposal = signer.propose(bundle.version(), BundleWriter.write(bundle));
		String lookupCommand = "bundle show --version " + bundle.version() + " --digest " + proposal.contentDigest();
		Either<OperationFailure, BundleProposal> result = TrustedOperators.createVerifier(access, bundle)
			.verify(proposal)
			.mapLeft((problem) -> new OperationFailure(OperationFailure.Kind.REFUSED, problem))
			.flatMap((content) -> access.runBundleOperation((operations) -> operations.propose(proposal)));
		return result.fold((failure) -> OperationReport.printFailure(failure, lookupCommand, line, out, err),
				(stored) -> new OperationReport("proposed", stored.version(), stored.contentDigest(), stored.proposer(),
						"")
					.print(line, out));
	}

}
