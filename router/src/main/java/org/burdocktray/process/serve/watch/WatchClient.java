package org.burdocktray.process.serve.watch;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.Supplier;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import org.burdocktray.connection.http.CheckedHttpClients;
import org.burdocktray.connection.http.KeptConnections;
import org.burdocktray.connection.peer.generated.WatchAnswer;
import org.burdocktray.connection.peer.generated.WatchRequest;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.process.watch.WatchCalls;
import org.burdocktray.process.watch.WatchCodec;

/**
 * Asks other VMs for objects of the store. Invariants: each call ends once; a connection
 * whose call is abandoned is closed, so no later call gets its answer, and so are the
 * others to that VM that may be silent too. Thread safety: none, confined to one event
 * loop.
 */
public final class WatchClient implements WatchCalls {

	private static final int OK = 200;

	private static final int CONNECT_TIMEOUT_MILLIS = 300;

	/** One for each kind of objects, and one that is being replaced. */
	private static final int CONNECTIONS_PER_VM = 6;

	private static final int KEEP_ALIVE_SECONDS = 60;

	private final Vertx vertx;

	private final HttpClient client;

	private final Supplier<Optional<String>> key;

	private final KeptConnections connections = new KeptConnections(System::nanoTime);

	/**
	 * Creates a client.
	 * @param vertx runs the event loop
	 * @param key returns the key of the VMs
	 */
	public WatchClient(Vertx vertx, Supplier<Optional<String>> key) {
		this.vertx = vertx;
		this.key = key;
		this.client = CheckedHttpClients.create(vertx,
				new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
					.setTcpNoDelay(true)
					.setKeepAliveTimeout(KEEP_ALIVE_SECONDS),
				CONNECTIONS_PER_VM, this.connections::add);
	}

	@Override
	public void ask(NetworkAddress watcher, WatchRequest request, long timeoutMillis,
			Consumer<Optional<WatchAnswer>> onEnd) {
		Exchange exchange = new Exchange(onEnd);
		exchange.timer = this.vertx.setTimer(timeoutMillis, (timer) -> exchange.giveUp());
		this.client
			.request(new RequestOptions().setMethod(HttpMethod.POST)
				.setHost(watcher.ip())
				.setPort(watcher.port())
				.setURI(WatchEndpoint.PATH))
			.onFailure((cause) -> exchange.end(Optional.empty()))
			.onSuccess((sending) -> send(exchange, sending, request));
	}

	private void send(Exchange exchange, HttpClientRequest sending, WatchRequest request) {
		if (exchange.ended.get()) {
			sending.reset();
			return;
		}
		exchange.sending = Optional.of(sending);
		this.connections.recordCall(sending.connection(), Integer.toUnsignedLong(request.getWaitMillis()));
		this.key.get().ifPresent((value) -> sending.putHeader(WatchEndpoint.KEY_HEADER, value));
		sending.exceptionHandler((cause) -> exchange.end(Optional.empty()));
		sending.response()
			.onFailure((cause) -> exchange.end(Optional.empty()))
			.onSuccess((response) -> receive(exchange, response));
		sending.end(Buffer.buffer(request.toByteArray()));
	}

	private void receive(Exchange exchange, HttpClientResponse response) {
		Buffer body = Buffer.buffer();
		response.exceptionHandler((cause) -> exchange.end(Optional.empty()));
		response.handler((part) -> {
			if (body.length() + part.length() > WatchCodec.MAX_ANSWER_BYTES) {
				exchange.end(Optional.empty());
				return;
			}
			body.appendBuffer(part);
		});
		response.endHandler((end) -> {
			exchange.sending = Optional.empty();
			this.connections.recordAnswer(response.request().connection());
			exchange.end((response.statusCode() == OK) ? decode(body) : Optional.empty());
		});
	}

	private static Optional<WatchAnswer> decode(Buffer body) {
		try {
			return Optional.of(WatchAnswer.parseFrom(body.getBytes()));
		}
		catch (InvalidProtocolBufferException ex) {
			return Optional.empty();
		}
	}

	/**
	 * One request with its answer. Thread safety: none, confined to one event loop.
	 */
	private final class Exchange {

		private final AtomicBoolean ended = new AtomicBoolean();

		private final Consumer<Optional<WatchAnswer>> onEnd;

		private long timer;

		private Optional<HttpClientRequest> sending = Optional.empty();

		private Exchange(Consumer<Optional<WatchAnswer>> onEnd) {
			this.onEnd = onEnd;
		}

		private void giveUp() {
			if (!this.ended.get()) {
				this.sending.map(HttpClientRequest::connection).ifPresent(WatchClient.this.connections::recordSilence);
			}
			end(Optional.empty());
		}

		private void end(Optional<WatchAnswer> answer) {
			if (!this.ended.compareAndSet(false, true)) {
				return;
			}
			WatchClient.this.vertx.cancelTimer(this.timer);
			// The answer may still come, for the next request of a kept connection.
			this.sending.ifPresent(HttpClientRequest::reset);
			this.onEnd.accept(answer);
		}

	}

}
