package org.burdocktray.process.cli;

import java.io.PrintStream;
import java.util.OptionalLong;

import io.reactivex.rxjava3.core.Single;
import io.vavr.control.Either;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.burdocktray.process.bundle.OperationFailure;
import org.burdocktray.process.bundle.RollResult;

/**
 * Rolls an approved bundle out to all VMs. Thread safety: stateless.
 */
final class BundleRollCommand implements Command {

	@Override
	public String name() {
		return "bundle roll";
	}

	@Override
	public String arguments() {
		return "VERSION DIGEST";
	}

	@Override
	public String summary() {
		return "Roll an approved bundle out to all VMs.";
	}

	@Override
	public Options options() {
		return PlatformAccess.options();
	}

	@Override
	public ExitCode run(CommandLine line, PrintStream out, PrintStream err) {
		OptionalLong version = VersionArgument.parse(line.getArgList().get(0));
		if (version.isEmpty()) {
			return OperationReport.printUsageFault(VersionArgument.faultMessage(line.getArgList().get(0)), line, out,
					err);
		}
		Either<String, PlatformAccess> access = PlatformAccess.fromOptions(line);
		if (access.isLeft()) {
			return OperationReport.printUsageFault(access.getLeft(), line, out, err);
		}
		return roll(access.get(), version.getAsLong(), line, out, err);
	}

	private static ExitCode roll(PlatformAccess access, long version, CommandLine line, PrintStream out,
			PrintStream err) {
		String digest = line.getArgList().get(1);
		Either<OperationFailure, RollResult> result = access
			.runBundleOperation((operations) -> TrustedOperators.createVerifier(access, operations, version, digest)
				.flatMap((verifier) -> verifier.isLeft() ? Single.just(Either.left(verifier.getLeft()))
						: operations.roll(version, digest, verifier.get()::verify)));
		if (result.isLeft()) {
			return OperationReport.printFailure(result.getLeft(), "bundle show --version " + version, line, out, err);
		}
		if (!result.get().pointerMoved()) {
			err.println("rolled; the update of the pointer is not confirmed, VMs find the bundle without it");
		}
		return OperationReport.of("rolled", result.get().rolled()).print(line, out);
	}

}
