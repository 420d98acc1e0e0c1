package org.burdocktray.process.cli;

import java.util.List;

/**
 * The entry point of the program. Thread safety: stateless.
 */
public final class Main {

	private static final List<Command> COMMANDS = List.of(new SettingsCheckCommand(), new BundleValidateCommand(),
			new BundleDiffCommand(), new BundleKeygenCommand(), new BundleProposeCommand(), new BundleApproveCommand(),
			new BundleRollCommand(), new BundleShowCommand(), new StatusCommand(), new ReportBurnCommand(),
			new ServeCommand(), new GatewayCommand(), new ConfigCheckCommand(), new ExplainCommand(System.in),
			new ClaimsListCommand(), new ClaimsCloseCommand());

	private Main() {
	}

	/**
	 * Runs one sub-command and exits with its exit code.
	 * @param arguments the name of the command, its options and its arguments
	 */
	public static void main(String[] arguments) {
		LogSetup.install();
		ExitCode code = new CommandRunner(commands()).run(arguments, System.out, System.err);
		System.exit(code.value());
	}

	static List<Command> commands() {
		return COMMANDS;
	}

}
