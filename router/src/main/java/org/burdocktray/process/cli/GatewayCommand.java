package org.burdocktray.process.cli;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.ServiceLoader;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;

import io.vavr.control.Either;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.process.serve.gateway.GatewayPlatform;
import org.burdocktray.process.serve.gateway.GatewayServer;
import org.burdocktray.process.serve.gateway.GatewaySettings;
import org.burdocktray.process.settings.GatewayOptions;
import org.burdocktray.process.settings.GatewayOptionsReader;
import org.burdocktray.version.config.ConfigFault;
import org.jboss.logging.Logger;

/**
 * Runs the gateway on the platform that the program is built with, until the process
 * receives SIGTERM or SIGINT. Thread safety: runs once in a process.
 */
final class GatewayCommand implements Command {

	private static final String METRICS_PORT_OPTION = "metrics-port";

	private static final String OPTIONS_OPTION = "options";

	@Override
	public String name() {
		return "gateway";
	}

	@Override
	public String arguments() {
		return "";
	}

	@Override
	public String summary() {
		return "Run the gateway on the platform that this program is built with.";
	}

	@Override
	public Options options() {
		return new Options()
			.addOption(Option.builder()
				.longOpt(METRICS_PORT_OPTION)
				.hasArg()
				.argName("PORT")
				.desc("Serve metrics on this port.")
				.get())
			.addOption(Option.builder()
				.longOpt(OPTIONS_OPTION)
				.hasArg()
				.argName("FILE")
				.desc("Read the options of the gateway from this file.")
				.get());
	}

	@Override
	public ExitCode run(CommandLine line, PrintStream out, PrintStream err) {
		Optional<GatewayPlatform> platform = ServiceLoader.load(GatewayPlatform.class).findFirst();
		if (platform.isEmpty()) {
			err.println("burdocktray gateway: this program is built without a platform");
			return ExitCode.USAGE;
		}
		LogSetup.useStandardOutput();
		Either<String, GatewaySettings> settings = platform.get()
			.readSettings()
			.flatMap((read) -> withMetricsPort(read, Optional.ofNullable(line.getOptionValue(METRICS_PORT_OPTION))));
		if (settings.isLeft()) {
			err.println("burdocktray gateway: " + settings.getLeft());
			return ExitCode.USAGE;
		}
		Either<List<ConfigFault>, GatewayOptions> options = readOptions(
				Optional.ofNullable(line.getOptionValue(OPTIONS_OPTION)));
		if (options.isLeft()) {
			options.getLeft().forEach((fault) -> err.println("burdocktray gateway: " + fault));
			return ExitCode.USAGE;
		}
		return serve(new GatewayServer(settings.get(), options.get(), platform.get()), platform.get(), err);
	}

	private static Either<List<ConfigFault>, GatewayOptions> readOptions(Optional<String> file) {
		return file.map((name) -> GatewayOptionsReader.read(Path.of(name))).orElse(Either.right(GatewayOptions.NONE));
	}

	private static Either<String, GatewaySettings> withMetricsPort(GatewaySettings settings, Optional<String> port) {
		if (port.isEmpty()) {
			return Either.right(settings);
		}
		return NetworkAddress.parse(settings.callerAddress().ip() + ":" + port.get())
			.<Either<String, GatewaySettings>>map((address) -> Either.right(settings.withMetricsAddress(address)))
			.orElse(Either.left("--" + METRICS_PORT_OPTION + " must be 1 to 65535, was " + port.get()));
	}

	private static ExitCode serve(GatewayServer server, GatewayPlatform platform, PrintStream err) {
		Logger logger = Logger.getLogger(GatewayCommand.class);
		CountDownLatch stopped = new CountDownLatch(1);
		AtomicReference<ExitCode> exitCode = new AtomicReference<>(ExitCode.OK);
		ProcessSignals.onStop(() -> server.stop().onComplete((done) -> stopped.countDown()));
		ProcessSignals.onReload(() -> platform.readSettings()
			.peek((read) -> logger.infof("Settings read again: vm=%s; they take effect at the next start",
					read.vmName()))
			.peekLeft((fault) -> logger.errorf("Settings cannot be read, the present ones stay: %s", fault)));
		server.start().onFailure((cause) -> {
			err.println("burdocktray gateway: can't listen: " + cause.getMessage());
			exitCode.set(ExitCode.USAGE);
			stopped.countDown();
		});
		try {
			stopped.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		logger.info("Gateway stopped");
		return exitCode.get();
	}

}
