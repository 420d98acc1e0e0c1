package org.burdocktray.process.cli;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;

import io.vavr.control.Either;
import org.apache.commons.cli.CommandLine;
import org.burdocktray.version.bundle.Bundle;
import org.burdocktray.version.bundle.BundleReader;
import org.burdocktray.version.config.ConfigFault;

/**
 * Validates a bundle file. Thread safety: stateless.
 */
final class BundleValidateCommand implements Command {

	@Override
	public String name() {
		return "bundle validate";
	}

	@Override
	public String arguments() {
		return "FILE";
	}

	@Override
	public String summary() {
		return "Check the content of a bundle.";
	}

	@Override
	public ExitCode run(CommandLine line, PrintStream out, PrintStream err) {
		String file = line.getArgList().get(0);
		Either<List<ConfigFault>, Bundle> bundle = BundleReader.read(Path.of(file));
		if (bundle.isLeft()) {
			JsonOutput.printFaults(bundle.getLeft(), line, out, err);
			return ExitCode.USAGE;
		}
		if (JsonOutput.isRequested(line)) {
			JsonOutput.print(new CheckResult(true, List.of()), out);
			return ExitCode.OK;
		}
		out.println(file + ": valid bundle, version " + bundle.get().version());
		return ExitCode.OK;
	}

}
