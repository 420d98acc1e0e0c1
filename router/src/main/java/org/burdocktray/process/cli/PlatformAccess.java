package org.burdocktray.process.cli;

import java.nio.file.Path;
import java.util.Optional;
import java.util.function.Function;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.Schedulers;
import io.vavr.control.Either;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.burdocktray.connection.http.CheckedHttpClients;
import org.burdocktray.connection.platform.HttpPlatformStore;
import org.burdocktray.connection.platform.PlatformStore;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.process.bundle.BundleOperations;
import org.burdocktray.process.claim.ClaimClock;
import org.burdocktray.process.claim.ClaimParameters;
import org.burdocktray.process.claim.ClaimReconciliation;
import org.burdocktray.process.settings.Settings;
import org.burdocktray.process.settings.SettingsReader;

/**
 * Access to the platform as given by the options of a command. This is the only class in
 * which a command blocks until the platform responds. Thread safety: immutable.
 *
 * @param platformAddress the address of the platform's object API
 * @param callTimeoutMillis the timeout of one call
 * @param settings the settings file, if the options name one
 */
record PlatformAccess(NetworkAddress platformAddress, long callTimeoutMillis, Optional<Settings> settings) {

	private static final int MAX_CONNECTIONS = 2;

	private static final String PLATFORM_OPTION = "platform";

	private static final String SETTINGS_OPTION = "settings";

	private static final long DEFAULT_CALL_TIMEOUT_MILLIS = 2_000;

	static Options options() {
		return new Options()
			.addOption(Option.builder()
				.longOpt(PLATFORM_OPTION)
				.hasArg()
				.argName("IP:PORT")
				.desc("The platform's object API; by default that of the settings.")
				.get())
			.addOption(Option.builder()
				.longOpt(SETTINGS_OPTION)
				.hasArg()
				.argName("FILE")
				.desc("Settings of a VM, for the platform and the trusted operators.")
				.get());
	}

	/**
	 * Reads the options.
	 * @param line the parsed options
	 * @return the access to the platform, or an error message
	 */
	static Either<String, PlatformAccess> fromOptions(CommandLine line) {
		Either<String, Optional<Settings>> settings = readSettings(line);
		return settings.flatMap((found) -> parseAddress(line, found).map((address) -> new PlatformAccess(address,
				found.map(Settings::platformCallTimeoutMillis).orElse(DEFAULT_CALL_TIMEOUT_MILLIS), found)));
	}

	/**
	 * Runs an operation on bundles and waits for its result.
	 * @param <T> the type of the result
	 * @param operation the operation
	 * @return the result
	 */
	<T> T runBundleOperation(Function<BundleOperations, Single<T>> operation) {
		return runStoreOperation((store) -> operation.apply(new BundleOperations(store, Schedulers.computation())));
	}

	/**
	 * Runs an operation on claims and waits for its result.
	 * @param <T> the type of the result
	 * @param operation the operation
	 * @return the result
	 */
	<T> T runClaimOperation(Function<ClaimReconciliation, Single<T>> operation) {
		return runStoreOperation((store) -> operation
			.apply(new ClaimReconciliation(store, ClaimParameters.standard(), ClaimClock.system())));
	}

	private <T> T runStoreOperation(Function<PlatformStore, Single<T>> operation) {
		Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
		try {
			HttpClient client = CheckedHttpClients.create(vertx, new HttpClientOptions(), MAX_CONNECTIONS);
			HttpPlatformStore store = new HttpPlatformStore(client, this.platformAddress, this.callTimeoutMillis);
			return operation.apply(store).blockingGet();
		}
		finally {
			vertx.close().toCompletionStage().toCompletableFuture().join();
		}
	}

	private static Either<String, Optional<Settings>> readSettings(CommandLine line) {
		if (!line.hasOption(SETTINGS_OPTION)) {
			return Either.right(Optional.empty());
		}
		return SettingsReader.read(Path.of(line.getOptionValue(SETTINGS_OPTION)))
			.bimap((faults) -> faults.get(0).toString(), Optional::of);
	}

	private static Either<String, NetworkAddress> parseAddress(CommandLine line, Optional<Settings> settings) {
		if (!line.hasOption(PLATFORM_OPTION)) {
			return settings.map(Settings::platformAddress)
				.<Either<String, NetworkAddress>>map(Either::right)
				.orElseGet(() -> Either.left("--platform or --settings is needed"));
		}
		String text = line.getOptionValue(PLATFORM_OPTION);
		return NetworkAddress.parse(text)
			.<Either<String, NetworkAddress>>map(Either::right)
			.orElseGet(() -> Either.left("--platform: expected IP:PORT, found " + text));
	}

}
