package org.burdocktray.process.cli;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;

import io.vavr.control.Either;
import org.apache.commons.cli.CommandLine;
import org.burdocktray.process.settings.Settings;
import org.burdocktray.process.settings.SettingsReader;
import org.burdocktray.version.config.ConfigFault;

/**
 * Checks a settings file. Thread safety: stateless.
 */
final class SettingsCheckCommand implements Command {

	@Override
	public String name() {
		return "settings check";
	}

	@Override
	public String arguments() {
		return "FILE";
	}

	@Override
	public String summary() {
		return "Check the settings of a process.";
	}

	@Override
	public ExitCode run(CommandLine line, PrintStream out, PrintStream err) {
		String file = line.getArgList().get(0);
		Either<List<ConfigFault>, Settings> settings = SettingsReader.read(Path.of(file));
		if (settings.isLeft()) {
			JsonOutput.printFaults(settings.getLeft(), line, out, err);
			return ExitCode.USAGE;
		}
		if (JsonOutput.isRequested(line)) {
			JsonOutput.print(new CheckResult(true, List.of()), out);
			return ExitCode.OK;
		}
		out.println(file + ": valid settings of VM " + settings.get().vmName());
		return ExitCode.OK;
	}

}
