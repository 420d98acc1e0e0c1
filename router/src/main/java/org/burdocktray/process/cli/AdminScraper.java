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
import io.vertx.core.http.HttpMethod;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.process.burn.BurnNote;
import org.burdocktray.process.burn.ScrapeReader;

/**
 * Scrapes VMs over HTTP, all at the same moments. A VM is known by its admin address.
 * Thread safety: for one thread.
 */
final class AdminScraper {

	private static final long TIMEOUT_MILLIS = 5_000;

	private static final int STATUS_OK = 200;

	private final List<NetworkAddress> addresses;

	private final Optional<ScrapeDirectory> saveDirectory;

	private final LongSupplier clockMillis;

	AdminScraper(List<NetworkAddress> addresses, Optional<ScrapeDirectory> saveTo, LongSupplier clockMillis) {
		this.addresses = List.copyOf(addresses);
		this.saveDirectory = saveTo;
		this.clockMillis = clockMillis;
	}

	/**
	 * Scrapes several times.
	 * @param times how often
	 * @param everySeconds the time between the starts of two scrapes
	 * @param found takes the scrapes and what went wrong
	 * @throws IOException when a scrape can't be saved
	 */
	void scrapeInto(int times, long everySeconds, CollectedScrapes found) throws IOException {
		Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
		try {
			HttpClient client = vertx.createHttpClient();
			Iterable<List<MetricsResponse>> rounds = Observable.interval(0, Math.max(1, everySeconds), TimeUnit.SECONDS)
				.take(times)
				.concatMapSingle((round) -> scrapeAll(client))
				.blockingIterable();
			for (List<MetricsResponse> round : rounds) {
				for (MetricsResponse answer : round) {
					recordResponse(answer, found);
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

	private void recordResponse(MetricsResponse answer, CollectedScrapes found) throws IOException {
		found.recordAttempt(answer.timeMillis());
		if (answer.text().isLeft()) {
			found.addNote(BurnNote.Kind.VM_MISSING, answer.vm(), answer.text().getLeft());
			return;
		}
		String text = answer.text().get();
		if (this.saveDirectory.isPresent()) {
			this.saveDirectory.get().save(answer.vm(), answer.timeMillis(), text);
		}
		ScrapeReader.read(answer.vm(), answer.timeMillis(), text)
			.peek(found::add)
			.peekLeft((problem) -> found.addNote(BurnNote.Kind.SCRAPE_LEFT_OUT, answer.vm(), problem));
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
	 * What one VM answered. Thread safety: immutable.
	 *
	 * @param vm its admin address
	 * @param timeMillis when it was asked, in milliseconds since 1970
	 * @param text the metrics, or why there are none
	 */
	private record MetricsResponse(String vm, long timeMillis, Either<String, String> text) {

	}

}
