package org.burdocktray.process.cli;

import java.io.PrintStream;

import org.apache.commons.cli.CommandLine;
import org.burdocktray.process.bundle.OperationFailure;
import org.burdocktray.version.signing.SignedBundle;

/**
 * The state of a bundle in the store, as the bundle commands print it. Thread safety:
 * immutable.
 *
 * @param state the state of the bundle: proposed, approved or rolled
 * @param version the version of the bundle
 * @param digest the SHA-256 digest of its content
 * @param proposer the operator who proposed it
 * @param approver the operator who approved it, empty if it is not approved yet
 */
record OperationReport(String state, long version, String digest, String proposer, String approver) {

	static OperationReport of(String state, SignedBundle bundle) {
		return new OperationReport(state, bundle.version(), bundle.contentDigest(), bundle.proposer(),
				bundle.approver());
	}

	ExitCode print(CommandLine line, PrintStream out) {
		if (JsonOutput.isRequested(line)) {
			JsonOutput.print(this, out);
			return ExitCode.OK;
		}
		out.println(this.state + ": version " + this.version + " digest " + this.digest);
		out.println("proposed by " + this.proposer
				+ (this.approver.isEmpty() ? ", not approved" : ", approved by " + this.approver));
		return ExitCode.OK;
	}

	static ExitCode printFailure(OperationFailure failure, String lookupCommand, CommandLine line, PrintStream out,
			PrintStream err) {
		boolean isUnknown = failure.kind() == OperationFailure.Kind.UNKNOWN;
		String detail = isUnknown ? failure.detail() + "; look with: burdocktray " + lookupCommand : failure.detail();
		if (JsonOutput.isRequested(line)) {
			JsonOutput.print(new OperationFailure(failure.kind(), detail), out);
		}
		else {
			err.println(detail);
		}
		return switch (failure.kind()) {
			case REFUSED -> ExitCode.REFUSED;
			case UNAVAILABLE, UNKNOWN -> ExitCode.PLATFORM_UNAVAILABLE;
			case LOST_RACE -> ExitCode.LOST_RACE;
		};
	}

	static ExitCode printUsageFault(String problem, CommandLine line, PrintStream out, PrintStream err) {
		if (JsonOutput.isRequested(line)) {
			JsonOutput.print(new UsageFault(problem), out);
		}
		else {
			err.println(problem);
		}
		return ExitCode.USAGE;
	}

	/**
	 * A usage fault, as printed in JSON. Thread safety: immutable.
	 *
	 * @param detail the error message
	 */
	record UsageFault(String detail) {

	}

}
