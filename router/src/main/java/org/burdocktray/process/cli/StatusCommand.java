package org.burdocktray.process.cli;

import java.io.PrintStream;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.burdocktray.connection.http.CheckedHttpClients;
import org.burdocktray.model.NetworkAddress;

/**
 * Prints the status of one VM as JSON. Thread safety: stateless.
 */
final class StatusCommand implements Command {

	private static final String ADMIN_OPTION = "admin";

	private static final long TIMEOUT_MILLIS = 5_000;

	private static final int STATUS_OK = 200;

	private static final int CONNECTIONS_PER_VM = 1;

	@Override
	public String name() {
		return "status";
	}

	@Override
	public String arguments() {
		return "";
	}

	@Override
	public String summary() {
		return "Print the status of a VM as JSON.";
	}

	@Override
	public Options options() {
		return new Options().addOption(Option.builder()
			.longOpt(ADMIN_OPTION)
			.hasArg()
			.argName("IP:PORT")
			.required()
			.desc("The admin address of the VM.")
			.get());
	}

	@Override
	public ExitCode run(CommandLine line, PrintStream out, PrintStream err) {
		String text = line.getOptionValue(ADMIN_OPTION);
		Optional<NetworkAddress> address = NetworkAddress.parse(text);
		if (address.isEmpty()) {
			return OperationReport.printUsageFault("--admin: expected IP:PORT, found " + text, line, out, err);
		}
		Optional<String> status = fetchStatus(address.get());
		if (status.isEmpty()) {
			err.println("no status from " + address.get());
			return ExitCode.REFUSED;
		}
		out.println(status.get());
		return ExitCode.OK;
	}

	private static Optional<String> fetchStatus(NetworkAddress address) {
		Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
		try {
			return requestStatus(CheckedHttpClients.create(vertx, new HttpClientOptions(), CONNECTIONS_PER_VM), address)
				.timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
				.onErrorReturnItem(Optional.empty())
				.blockingGet();
		}
		finally {
			vertx.close().toCompletionStage().toCompletableFuture().join();
		}
	}

	private static Single<Optional<String>> requestStatus(HttpClient client, NetworkAddress address) {
		return Single.create((emitter) -> client.request(HttpMethod.GET, address.port(), address.ip(), "/status")
			.compose((request) -> request.send())
			.compose((response) -> response.body()
				.map((body) -> (response.statusCode() == STATUS_OK) ? Optional.of(body.toString())
						: Optional.<String>empty()))
			.onSuccess(emitter::onSuccess)
			.onFailure((cause) -> emitter.onSuccess(Optional.empty())));
	}

}
