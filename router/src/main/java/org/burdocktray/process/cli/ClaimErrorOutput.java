package org.burdocktray.process.cli;

import java.io.PrintStream;

import org.burdocktray.process.claim.ReconciliationError;

/**
 * Prints why claims could not be listed or closed, and selects the exit code. Thread
 * safety: stateless.
 */
final class ClaimErrorOutput {

	private ClaimErrorOutput() {
	}

	static ExitCode print(ReconciliationError error, PrintStream err) {
		err.println(message(error));
		return switch (error) {
			case STORE_UNAVAILABLE, UNRESOLVED -> ExitCode.PLATFORM_UNAVAILABLE;
			case CONTENDED -> ExitCode.LOST_RACE;
			case UNREADABLE, NO_SUCH_CLAIM -> ExitCode.REFUSED;
		};
	}

	private static String message(ReconciliationError error) {
		return switch (error) {
			case STORE_UNAVAILABLE -> "the platform can't be reached; nothing was changed";
			case UNRESOLVED ->
				"the platform did not respond, so the outcome is not known; look with: burdocktray claims list";
			case UNREADABLE -> "a shard of claims can't be read by this version";
			case NO_SUCH_CLAIM -> "there is no such claim with an unknown outcome";
			case CONTENDED -> "other writers kept changing the shard; nothing was changed, try again";
		};
	}

}
