package org.burdocktray.process.cli;

import java.io.PrintStream;
import java.util.List;

import io.vavr.control.Either;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.burdocktray.process.claim.ClaimReconciliation;
import org.burdocktray.process.claim.ReconciliationError;
import org.burdocktray.process.claim.UnresolvedClaim;

/**
 * Lists the claims with an unknown outcome. Thread safety: stateless.
 */
final class ClaimsListCommand implements Command {

	@Override
	public String name() {
		return "claims list";
	}

	@Override
	public String arguments() {
		return "";
	}

	@Override
	public String summary() {
		return "List the idempotency keys whose call has an unknown outcome.";
	}

	@Override
	public Options options() {
		return PlatformAccess.options();
	}

	@Override
	public ExitCode run(CommandLine line, PrintStream out, PrintStream err) {
		Either<String, PlatformAccess> access = PlatformAccess.fromOptions(line);
		if (access.isLeft()) {
			return OperationReport.printUsageFault(access.getLeft(), line, out, err);
		}
		Either<ReconciliationError, List<UnresolvedClaim>> claims = access.get()
			.runClaimOperation(ClaimReconciliation::list);
		if (claims.isLeft()) {
			return ClaimErrorOutput.print(claims.getLeft(), err);
		}
		if (JsonOutput.isRequested(line)) {
			JsonOutput.print(claims.get(), out);
			return ExitCode.OK;
		}
		claims.get().forEach((claim) -> print(claim, out));
		out.println(claims.get().size() + " claims without a known outcome");
		return ExitCode.OK;
	}

	private static void print(UnresolvedClaim claim, PrintStream out) {
		out.printf("%s %s %s vm=%s claimedAt=%d%n", claim.ticket().organisation(), claim.ticket().idempotencyKey(),
				claim.ticket().claimId(), claim.vm(), claim.claimedAtSeconds());
	}

}
