package org.burdocktray.standins;

import java.io.PrintStream;
import java.util.Optional;

import org.apache.commons.cli.ParseException;
import org.burdocktray.standins.engine.EngineStandIn;
import org.burdocktray.standins.model.ReferenceModel;
import org.burdocktray.standins.platform.PlatformStandIn;
import org.burdocktray.standins.service.ServiceStandIn;

/**
 * Entry point: runs one stand-in in its own process, or prints a reference response.
 * Standard output consists of one JSON line. Thread safety: stateless.
 */
public final class Main {

	private static final int EXIT_CRASHED = 1;

	private static final int EXIT_USAGE = 2;

	private static final int DEFAULT_MAX_TOKENS = 64;

	private Main() {
	}

	/**
	 * Runs a command: {@code platform}, {@code engine}, {@code service} or
	 * {@code reference}.
	 * @param arguments the command and its options
	 */
	public static void main(String[] arguments) {
		try {
			run(arguments, System.out, Main::halt);
		}
		catch (ParseException ex) {
			System.err.println(ex.getMessage());
			System.exit(EXIT_USAGE);
		}
	}

	static Optional<HttpStandIn> run(String[] arguments, PrintStream output, Runnable crash) throws ParseException {
		CommandLineOptions options = CommandLineOptions.parse(arguments);
		if (options.command().equals("reference")) {
			output.println(JsonBodies.encode(reference(options)));
			return Optional.empty();
		}
		int port = options.intValue("port", 0);
		HttpStandIn standIn = createStandIn(options);
		standIn.setCrashAction(crash);
		standIn.start(port);
		output.println(JsonBodies.encode(new Ready(true, standIn.address())));
		output.flush();
		return Optional.of(standIn);
	}

	private static HttpStandIn createStandIn(CommandLineOptions options) throws ParseException {
		return switch (options.command()) {
			case "platform" -> new PlatformStandIn();
			case "engine" -> new EngineStandIn(options.engineOptions());
			case "service" -> new ServiceStandIn(options.hasOption("removes-duplicates"));
			default -> throw new ParseException("unknown command " + options.command());
		};
	}

	private static Object reference(CommandLineOptions options) throws ParseException {
		ReferenceModel model = new ReferenceModel(options.stringValue("model", "toy"),
				options.stringValue("model-version", "1"), options.intValue("to-layer", 1));
		return model.generate(options.stringValue("prompt", ""), options.intValue("max-tokens", DEFAULT_MAX_TOKENS));
	}

	private static void halt() {
		Runtime.getRuntime().halt(EXIT_CRASHED);
	}

	private record Ready(boolean ready, String address) {
	}

}
