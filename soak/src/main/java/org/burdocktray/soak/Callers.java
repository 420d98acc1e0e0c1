package org.burdocktray.soak;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

import org.burdocktray.standins.gateway.ReplicaStandIn;
import org.burdocktray.standins.gateway.WireHeaders;

/**
 * Sends calls to gateways over keep-alive connections and records their outcomes. Thread
 * safety: thread-safe.
 */
final class Callers {

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

	/** Added to a call's time limit; a gateway must end the call earlier. */
	private static final long EXTRA_TIMEOUT_MILLIS = 4_000;

	private static final Call.Kind ENDING_KIND = Call.Kind.BOOK;

	private final HttpClient client = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(CONNECT_TIMEOUT)
		.build();

	private final Queue<Call> endedCalls = new ConcurrentLinkedQueue<>();

	private final Queue<CompletableFuture<Call>> pendingCalls = new ConcurrentLinkedQueue<>();

	private final AtomicLong callCount = new AtomicLong();

	CompletableFuture<Call> send(String address, Call.Kind kind, String key) {
		String id = kind.name().toLowerCase(Locale.ROOT) + "-" + this.callCount.incrementAndGet();
		HttpRequest.BodyPublisher body = (kind == Call.Kind.CHECK) ? HttpRequest.BodyPublishers.noBody()
				: HttpRequest.BodyPublishers.ofString("body of " + id);
		return send(new Content(kind.method(), kind.path() + id, body), address, id, kind, key);
	}

	/**
	 * Sends the request again that ends each replica that runs it.
	 * @param address the address of a gateway
	 * @return its outcome
	 */
	CompletableFuture<Call> sendEnding(String address) {
		String id = "ends-" + this.callCount.incrementAndGet();
		HttpRequest.BodyPublisher body = HttpRequest.BodyPublishers.ofString(ReplicaStandIn.ENDING_BODY);
		return send(new Content("POST", ENDING_KIND.path() + "ends", body), address, id, ENDING_KIND, SoakPlatform.KEY);
	}

	private CompletableFuture<Call> send(Content content, String address, String id, Call.Kind kind, String key) {
		long sentNanos = System.nanoTime();
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + content.path()))
			.method(content.method(), content.body())
			.header("Host", "a.example")
			.header(WireHeaders.REQUEST_ID, id)
			.header(WireHeaders.DEADLINE_MILLIS, String.valueOf(kind.deadlineMillis()))
			.header(WireHeaders.TOKEN_COUNT, "50,20")
			.header("Authorization", "Bearer " + key)
			.timeout(Duration.ofMillis(kind.deadlineMillis() + EXTRA_TIMEOUT_MILLIS))
			.build();
		CompletableFuture<Call> result = this.client.sendAsync(request, HttpResponse.BodyHandlers.ofString())
			.handle((response, failure) -> {
				Call call = new Call(id, kind, key, sentNanos, System.nanoTime(), 0, "", "", "");
				return (response != null) ? call.withResponse(response) : call.withFailure(failure);
			})
			.whenComplete((call, failure) -> this.endedCalls.add(call));
		this.pendingCalls.add(result);
		return result;
	}

	/**
	 * Waits until all calls have ended.
	 * @return the calls in the order in which they ended
	 */
	List<Call> awaitAll() {
		this.pendingCalls.forEach(CompletableFuture::join);
		return List.copyOf(this.endedCalls);
	}

	private record Content(String method, String path, HttpRequest.BodyPublisher body) {

	}

}
