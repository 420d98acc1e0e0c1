package org.burdocktray.process.serve.gateway;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.net.NetServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ResponseReaderTests {

	private static final String LOCALHOST = "127.0.0.1";

	private static final int MAX_RESPONSE_BYTES = 100;

	private final Vertx vertx = Vertx.vertx();

	private final HttpClient client = this.vertx.createHttpClient();

	private final AtomicInteger givenUp = new AtomicInteger();

	private final CompletableFuture<Void> connectionClosed = new CompletableFuture<>();

	private ResponseReader reader;

	private NetServer server;

	@BeforeEach
	void createReader() {
		this.reader = new ResponseReader(this.vertx, MAX_RESPONSE_BYTES, MAX_RESPONSE_BYTES,
				this.givenUp::incrementAndGet);
	}

	@AfterEach
	void close() {
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	@Test
	void readsBodyOfLargestSize() {
		String body = "x".repeat(MAX_RESPONSE_BYTES);
		startServer("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n" + body);
		assertThat(readBody()).succeedsWithin(5, TimeUnit.SECONDS).hasToString(body);
		assertThat(this.givenUp).hasValue(0);
		assertThat(this.connectionClosed).isNotDone();
	}

	@Test
	void givesUpLargerBody() {
		startServer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" + "x".repeat(101) + "\r\n");
		assertThat(readBody()).failsWithin(5, TimeUnit.SECONDS);
		assertThat(this.connectionClosed).succeedsWithin(5, TimeUnit.SECONDS);
		assertThat(this.givenUp).hasValue(1);
	}

	@Test
	void givesUpBodyThatIsDeclaredLarger() {
		startServer("HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n");
		assertThat(readBody()).failsWithin(5, TimeUnit.SECONDS);
		assertThat(this.connectionClosed).succeedsWithin(5, TimeUnit.SECONDS);
	}

	/** A body that stays in progress would hold its bytes for ever. */
	@Test
	void bodyOfCancelledRequestFails() {
		startServer("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nxxx");
		CompletableFuture<Buffer> body = get().thenCompose((response) -> {
			CompletableFuture<Buffer> reading = this.reader.readBody(response)
				.toCompletionStage()
				.toCompletableFuture();
			response.request().reset();
			return reading;
		});
		assertThat(body).failsWithin(5, TimeUnit.SECONDS);
	}

	@Test
	void discardsSmallResponseAndKeepsConnection() {
		startServer("HTTP/1.1 503 Busy\r\nContent-Length: 3\r\n\r\nxxx");
		get().thenAccept(this.reader::discard).join();
		assertThat(this.connectionClosed).failsWithin(2, TimeUnit.SECONDS);
	}

	@Test
	void closesConnectionOfDiscardedResponseThatDoesNotEnd() {
		startServer("HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nxxx");
		get().thenAccept(this.reader::discard).join();
		assertThat(this.connectionClosed).succeedsWithin(5, TimeUnit.SECONDS);
		assertThat(this.givenUp).hasValue(0);
	}

	private void startServer(String response) {
		this.server = this.vertx.createNetServer().connectHandler((socket) -> {
			socket.closeHandler((closed) -> this.connectionClosed.complete(null));
			socket.handler((received) -> socket.write(response));
		}).listen(0, LOCALHOST).toCompletionStage().toCompletableFuture().join();
	}

	private CompletableFuture<Buffer> readBody() {
		return get().thenCompose((response) -> this.reader.readBody(response).toCompletionStage());
	}

	private CompletableFuture<HttpClientResponse> get() {
		return this.client.request(HttpMethod.GET, this.server.actualPort(), LOCALHOST, "/")
			.flatMap(HttpClientRequest::send)
			.toCompletionStage()
			.toCompletableFuture();
	}

}
