package org.burdocktray.process.cli;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;

import io.vavr.control.Either;
import org.apache.commons.cli.CommandLine;
import org.burdocktray.version.bundle.Bundle;
import org.burdocktray.version.bundle.BundleDiff;
import org.burdocktray.version.bundle.BundleReader;
import org.burdocktray.version.config.ConfigFault;

/**
 * Shows the differences between two bundles. Thread safety: stateless.
 */
final class BundleDiffCommand implements Command {

	@Override
	public String name() {
		return "bundle diff";
	}

	@Override
	public String arguments() {
		return "BEFORE AFTER";
	}

	@Override
	public String summary() {
		return "Show what differs between two bundles, by field path.";
	}

	@Override
	public ExitCode run(CommandLine line, PrintStream out, PrintStream err) {
		Either<List<ConfigFault>, Bundle> before = BundleReader.read(Path.of(line.getArgList().get(0)));
		Either<List<ConfigFault>, Bundle> after = BundleReader.read(Path.of(line.getArgList().get(1)));
		List<ConfigFault> faults = List.of(before, after)
			.stream()
			.filter(Either::isLeft)
			.flatMap((bundle) -> bundle.getLeft().stream())
			.toList();
		if (!faults.isEmpty()) {
			JsonOutput.printFaults(faults, line, out, err);
			return ExitCode.REFUSED;
		}
		print(BundleDiff.between(before.get(), after.get()), line, out);
		return ExitCode.OK;
	}

	private static void print(List<BundleDiff.Change> changes, CommandLine line, PrintStream out) {
		if (JsonOutput.isRequested(line)) {
			JsonOutput.print(changes, out);
			return;
		}
		changes.forEach(out::println);
	}

}
