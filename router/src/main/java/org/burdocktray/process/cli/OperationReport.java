package org.burdocktray.process.cli;

import java.io.PrintStream;

import org.apache.commons.cli.CommandLine;
import org.burdocktray.process.bundle.OperationFailure;
import org.burdocktray.version.signing.SignedBundle;

/**
 * What a command tells of a bundle in the store. Thread safety: immutable.
 *
 * @param state what the bundle is now
 * @param version its version
 * @param digest SHA-256 of its content
 * @param proposer who proposed it
 * @param approver who approved it, empty when nobody did yet
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

	static ExitCode printFailure(OperationFailure failure, String lookUp, CommandLine line, PrintStream out,
			PrintStream err) {
		boolean isUnknown = failure.kind() == OperationFailure.Kind.UNKNOWN;
		String detail = isUnknown ? failure.detail() + "; look with: burdocktray " + lookUp : failure.detail();
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
	 * A fault in the use of a command. Thread safety: immutable.
	 *
	 * @param detail what is wrong
	 */
	record UsageFault(String detail) {

	}

}
