package org.burdocktray.process.cli;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;

import io.vavr.control.Either;
import org.apache.commons.cli.CommandLine;
import org.burdocktray.process.serve.RouterServer;
import org.burdocktray.process.settings.Settings;
import org.burdocktray.process.settings.SettingsReader;
import org.burdocktray.version.config.ConfigFault;
import org.jboss.logging.Logger;

/**
 * Runs the router until the process receives SIGTERM or SIGINT. Thread safety: runs once
 * in a process.
 */
final class ServeCommand implements Command {

	private static final Logger LOGGER = Logger.getLogger(ServeCommand.class);

	@Override
	public String name() {
		return "serve";
	}

	@Override
	public String arguments() {
		return "SETTINGS";
	}

	@Override
	public String summary() {
		return "Run the router.";
	}

	@Override
	public ExitCode run(CommandLine line, PrintStream out, PrintStream err) {
		Either<List<ConfigFault>, Settings> settings = SettingsReader.read(Path.of(line.getArgList().get(0)));
		if (settings.isLeft()) {
			JsonOutput.printFaults(settings.getLeft(), line, out, err);
			return ExitCode.USAGE;
		}
		LogSetup.setLevel(settings.get().logLevel());
		return serve(settings.get(), err);
	}

	private static ExitCode serve(Settings settings, PrintStream err) {
		RouterServer server = new RouterServer(settings);
		CountDownLatch stopped = new CountDownLatch(1);
		AtomicReference<ExitCode> exitCode = new AtomicReference<>(ExitCode.OK);
		server.start().onFailure((cause) -> {
			err.println("burdocktray serve: can't listen: " + cause.getMessage());
			exitCode.set(ExitCode.USAGE);
			stopped.countDown();
		});
		ProcessSignals.onStop(() -> server.stop().onComplete((done) -> stopped.countDown()));
		try {
			stopped.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		LOGGER.info("Router stopped");
		return exitCode.get();
	}

}
