package org.burdocktray.process.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.burdocktray.process.explain.LogLine;
import org.burdocktray.process.explain.RequestTimeline;

/**
 * Explains from logs how one request ended, and why. Thread safety: stateless.
 */
final class ExplainCommand implements Command {

	private static final String LOG_OPTION = "log";

	private final InputStream standardInput;

	ExplainCommand(InputStream standardInput) {
		this.standardInput = standardInput;
	}

	@Override
	public String name() {
		return "explain";
	}

	@Override
	public String arguments() {
		return "REQUEST-ID";
	}

	@Override
	public String summary() {
		return "Tell from the logs of the VMs what became of a request, and why.";
	}

	@Override
	public Options options() {
		return new Options().addOption(Option.builder()
			.longOpt(LOG_OPTION)
			.hasArg()
			.argName("FILE")
			.desc("Read this log; may be given for each VM. By default, standard input is read.")
			.get());
	}

	@Override
	public ExitCode run(CommandLine line, PrintStream out, PrintStream err) {
		String requestId = line.getArgList().get(0);
		List<LogLine> log = new ArrayList<>();
		try {
			if (!line.hasOption(LOG_OPTION)) {
				readLog(this.standardInput, log);
			}
			for (String file : Optional.ofNullable(line.getOptionValues(LOG_OPTION)).orElse(new String[0])) {
				readLog(Files.newInputStream(Path.of(file)), log);
			}
		}
		catch (IOException ex) {
			return OperationReport.printUsageFault("--" + LOG_OPTION + ": can't be read: " + ex.getMessage(), line, out,
					err);
		}
		Optional<RequestTimeline> timeline = RequestTimeline.of(requestId, log);
		if (timeline.isEmpty()) {
			return OperationReport.printUsageFault("no log line names the request " + requestId, line, out, err);
		}
		print(timeline.get(), line, out);
		return ExitCode.OK;
	}

	private static void readLog(InputStream input, List<LogLine> log) throws IOException {
		try (BufferedReader reader = new BufferedReader(new InputStreamReader(input, StandardCharsets.UTF_8))) {
			for (String text = reader.readLine(); text != null; text = reader.readLine()) {
				LogLine.parse(text).ifPresent(log::add);
			}
		}
	}

	private static void print(RequestTimeline timeline, CommandLine line, PrintStream out) {
		if (JsonOutput.isRequested(line)) {
			JsonOutput.print(new Explanation(timeline.requestId(), timeline.cause(),
					timeline.lines().stream().map(ExplainCommand::format).toList()), out);
			return;
		}
		out.println(timeline.cause());
		timeline.lines().forEach((entry) -> out.println(format(entry)));
	}

	private static String format(LogLine entry) {
		return entry.time() + " " + entry.vm() + " " + entry.event() + ": " + entry.text();
	}

	/**
	 * The JSON output. Thread safety: immutable.
	 *
	 * @param request the identifier of the request
	 * @param cause the explanation of how the request ended
	 * @param lines the log lines in chronological order
	 */
	record Explanation(String request, String cause, List<String> lines) {

	}

}
