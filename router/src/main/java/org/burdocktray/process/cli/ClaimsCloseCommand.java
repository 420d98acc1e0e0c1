package org.burdocktray.process.cli;

import java.io.PrintStream;

import io.vavr.control.Either;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.burdocktray.process.claim.ClaimResolution;
import org.burdocktray.process.claim.ClaimTicket;
import org.burdocktray.process.claim.ReconciliationError;
import org.burdocktray.process.claim.UnresolvedClaim;

/**
 * Closes a claim whose outcome an operator has determined. Thread safety: stateless.
 */
final class ClaimsCloseCommand implements Command {

	private static final String RAN_OPTION = "ran";

	private static final String NOT_RUN_OPTION = "not-run";

	@Override
	public String name() {
		return "claims close";
	}

	@Override
	public String arguments() {
		return "ORGANISATION KEY CLAIM";
	}

	@Override
	public String summary() {
		return "Close a claim as run or as not run; its VM must be gone before it is closed as not run.";
	}

	@Override
	public Options options() {
		return PlatformAccess.options()
			.addOption(Option.builder()
				.longOpt(RAN_OPTION)
				.hasArg()
				.argName("NOTE")
				.desc("The call ran; callers with the key get this note.")
				.get())
			.addOption(Option.builder()
				.longOpt(NOT_RUN_OPTION)
				.desc("The call did not run; its key may run again.")
				.get());
	}

	@Override
	public ExitCode run(CommandLine line, PrintStream out, PrintStream err) {
		if (line.hasOption(RAN_OPTION) == line.hasOption(NOT_RUN_OPTION)) {
			return OperationReport.printUsageFault("one of --ran NOTE and --not-run is needed", line, out, err);
		}
		Either<String, PlatformAccess> access = PlatformAccess.fromOptions(line);
		if (access.isLeft()) {
			return OperationReport.printUsageFault(access.getLeft(), line, out, err);
		}
		ClaimTicket ticket = new ClaimTicket(line.getArgList().get(0), line.getArgList().get(1),
				line.getArgList().get(2));
		ClaimResolution closing = line.hasOption(RAN_OPTION) ? new ClaimResolution.Ran(line.getOptionValue(RAN_OPTION))
				: new ClaimResolution.NotRun();
		Either<ReconciliationError, UnresolvedClaim> closed = access.get()
			.runClaimOperation((reconciliation) -> reconciliation.close(ticket, closing));
		if (closed.isLeft()) {
			return ClaimErrorOutput.print(closed.getLeft(), err);
		}
		if (JsonOutput.isRequested(line)) {
			JsonOutput.print(closed.get(), out);
			return ExitCode.OK;
		}
		out.println("closed: " + ticket.organisation() + " " + ticket.idempotencyKey());
		return ExitCode.OK;
	}

}
