package org.burdocktray.process.cli;

import java.io.PrintStream;
import java.util.OptionalLong;

import io.reactivex.rxjava3.core.Single;
import io.vavr.control.Either;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.burdocktray.process.bundle.BundleOperations;
import org.burdocktray.process.bundle.OperationFailure;
import org.burdocktray.version.signing.BundleApproval;
import org.burdocktray.version.signing.BundleSigner;

/**
 * Approves a proposal of another operator. Thread safety: stateless.
 */
final class BundleApproveCommand implements Command {

	@Override
	public String name() {
		return "bundle approve";
	}

	@Override
	public String arguments() {
		return "VERSION DIGEST";
	}

	@Override
	public String summary() {
		return "Sign another operator's proposal.";
	}

	@Override
	public Options options() {
		return OperatorIdentity.addOptionsTo(PlatformAccess.options());
	}

	@Override
	public ExitCode run(CommandLine line, PrintStream out, PrintStream err) {
		OptionalLong version = VersionArgument.parse(line.getArgList().get(0));
		Either<String, PlatformAccess> access = PlatformAccess.fromOptions(line);
		Either<String, BundleSigner> signer = OperatorIdentity.readSigner(line);
		if (version.isEmpty()) {
			return OperationReport.printUsageFault(VersionArgument.faultMessage(line.getArgList().get(0)), line, out,
					err);
		}
		if (access.isLeft() || signer.isLeft()) {
			return OperationReport.printUsageFault(access.isLeft() ? access.getLeft() : signer.getLeft(), line, out,
					err);
		}
		return approve(access.get(), signer.get(), version.getAsLong(), line, out, err);
	}

	private static ExitCode approve(PlatformAccess access, BundleSigner signer, long version, CommandLine line,
			PrintStream out, PrintStream err) {
		String digest = line.getArgList().get(1);
		Either<OperationFailure, OperationReport> result = access
			.runBundleOperation((operations) -> approve(operations, access, signer, version, digest));
		return result.fold(
				(failure) -> OperationReport.printFailure(failure,
						"bundle show --version " + version + " --digest " + digest, line, out, err),
				(report) -> report.print(line, out));
	}

	private static Single<Either<OperationFailure, OperationReport>> approve(BundleOperations operations,
			PlatformAccess access, BundleSigner signer, long version, String digest) {
		Single<Either<OperationFailure, BundleApproval>> approval = TrustedOperators
			.createVerifier(access, operations, version, digest)
			.flatMap((verifier) -> verifier.isLeft() ? Single.just(Either.left(verifier.getLeft()))
					: operations.approve(version, digest, verifier.get()::verify, signer));
		return approval.flatMap((approved) -> approved.isLeft() ? Single.just(Either.left(approved.getLeft()))
				: operations.readProposal(version, digest)
					.map((stored) -> stored.map((proposal) -> new OperationReport("approved", version, digest,
							proposal.proposer(), approved.get().approver()))));
	}

}
