package org.burdocktray.process.cli;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.reactivex.rxjava3.core.Observable;
import io.reactivex.rxjava3.core.Single;
import io.vavr.control.Either;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import org.burdocktray.connection.http.CheckedHttpClients;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.process.burn.BurnNote;
import org.burdocktray.process.burn.ScrapeReader;

/**
 * Scrapes the metrics of VMs over HTTP, all VMs at the same time. A VM is identified by
 * its admin address. Thread safety: confined to one thread.
 */
final class AdminScraper {

	private static final long TIMEOUT_MILLIS = 5_000;

	private static final int STATUS_OK = 200;

	private static final int CONNECTIONS_PER_VM = 1;

	private final List<NetworkAddress> addresses;

	private final Optional<ScrapeDirectory> saveDirectory;

	private final LongSupplier clockMillis;

	AdminScraper(List<NetworkAddress> addresses, Optional<ScrapeDirectory> saveDirectory, LongSupplier clockMillis) {
		this.addresses = List.copyOf(addresses);
		this.saveDirectory = saveDirectory;
		this.clockMillis = clockMillis;
	}

	/**
	 * Scrapes all VMs several times.
	 * @param scrapeCount the number of scrapes of each VM
	 * @param intervalSeconds the time between the starts of two scrapes
	 * @param collected receives the scrapes and notes on failures
	 * @throws IOException if a scrape cannot be saved
	 */
	void scrapeInto(int scrapeCount, long intervalSeconds, CollectedScrapes collected) throws IOException {
		Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
		try {
			HttpClient client = CheckedHttpClients.create(vertx, new HttpClientOptions(), CONNECTIONS_PER_VM);
			Iterable<List<MetricsResponse>> rounds = Observable
				.interval(0, Math.max(1, intervalSeconds), TimeUnit.SECONDS)
				.take(scrapeCount)
				.concatMapSingle((round) -> scrapeAll(client))
				.blockingIterable();
			for (List<MetricsResponse> round : rounds) {
				for (MetricsResponse response : round) {
					recordResponse(response, collected);
				}
			}
		}
		finally {
			vertx.close().toCompletionStage().toCompletableFuture().join();
		}
	}

	private Single<List<MetricsResponse>> scrapeAll(HttpClient client) {
		long timeMillis = this.clockMillis.getAsLong();
		return Observable.fromIterable(this.addresses)
			.flatMapSingle((address) -> requestMetrics(client, address).timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
				.onErrorReturn((cause) -> Either.left("no answer within " + TIMEOUT_MILLIS + " ms"))
				.map((text) -> new MetricsResponse(address.toString(), timeMillis, text)))
			.toList();
	}

	private void recordResponse(MetricsResponse response, CollectedScrapes collected) throws IOException {
		collected.recordAttempt(response.timeMillis());
		if (response.text().isLeft()) {
			collected.addNote(BurnNote.Kind.VM_MISSING, response.vm(), response.text().getLeft());
			return;
		}
		String text = response.text().get();
		if (this.saveDirectory.isPresent()) {
			this.saveDirectory.get().save(response.vm(), response.timeMillis(), text);
		}
		ScrapeReader.read(response.vm(), response.timeMillis(), text)
			.peek(collected::add)
			.peekLeft((problem) -> collected.addNote(BurnNote.Kind.SCRAPE_LEFT_OUT, response.vm(), problem));
	}

	private static Single<Either<String, String>> requestMetrics(HttpClient client, NetworkAddress address) {
		return Single.create((emitter) -> client.request(HttpMethod.GET, address.port(), address.ip(), "/metrics")
			.compose((request) -> request.send())
			.compose((response) -> response.body()
				.map((body) -> (response.statusCode() == STATUS_OK) ? Either.<String, String>right(body.toString())
						: Either.<String, String>left("status " + response.statusCode())))
			.onSuccess(emitter::onSuccess)
			.onFailure((cause) -> emitter.onSuccess(Either.left("not reached"))));
	}

	/**
	 * The response of one VM to a metrics request. Thread safety: immutable.
	 *
	 * @param vm the admin address of the VM
	 * @param timeMillis the time of the request, in milliseconds since 1970
	 * @param text the metrics, or the reason why there are none
	 */
	private record MetricsResponse(String vm, long timeMillis, Either<String, String> text) {

	}

}
