package org.burdocktray.process.serve.gateway;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.net.impl.ConnectionBase;
import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.process.directory.Replica;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class ReplicaConnectionsTests {

	/** More than a replica that reads nothing takes in. */
	private static final int BODY_BYTES = 512 << 10;

	private static final int RECEIVE_BUFFER_BYTES = 4 << 10;

	private static final int TIMEOUT_MILLIS = 5_000;

	private final Vertx vertx = Vertx.vertx();

	@AfterEach
	void close() {
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	/**
	 * Guards against requests that reached replicas after their callers had left: a
	 * connection that was closed delivered later what a cut or slow link had held up.
	 */
	@Test
	void cancelledRequestIsNotDeliveredLater() throws IOException {
		try (ServerSocket server = listen()) {
			HttpClientRequest request = open(server);
			CompletableFuture<Void> closed = new CompletableFuture<>();
			request.connection().closeHandler((done) -> closed.complete(null));
			request.end(Buffer.buffer(new byte[BODY_BYTES]));
			try (Socket accepted = server.accept()) {
				accepted.setSoTimeout(TIMEOUT_MILLIS);
				assertThat(accepted.getInputStream().read()).isEqualTo('P');
				this.vertx.runOnContext((now) -> request.reset());
				assertThat(closed).succeedsWithin(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
				assertThatThrownBy(() -> accepted.getInputStream().readAllBytes()).isInstanceOf(IOException.class)
					.hasMessageContaining("reset");
			}
		}
	}

	/**
	 * Guards against a check that does not see what it has to, as another handler stands
	 * before it; {@link LinkPropertyTests} has this order.
	 */
	@Test
	void checksOfAnswersStandAroundTheCodecInTheirOrder() throws IOException {
		try (ServerSocket server = listen()) {
			ConnectionBase connection = (ConnectionBase) open(server).connection();
			List<String> handlers = connection.channel()
				.pipeline()
				.toMap()
				.values()
				.stream()
				.map((handler) -> handler.getClass().getSimpleName())
				.toList();
			assertThat(handlers).containsSubsequence("TrailingBytesCheck", "AnswerGrammarCheck", "HttpClientCodec",
					"Messages", "AnswerEnds", "MergedAnswerCheck", "ForeignAnswerFilter", "RequestProgress",
					"VertxHandler");
		}
	}

	private static ServerSocket listen() throws IOException {
		ServerSocket server = new ServerSocket();
		server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
		server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
		server.setSoTimeout(TIMEOUT_MILLIS);
		return server;
	}

	private HttpClientRequest open(ServerSocket server) {
		NetworkAddress address = new NetworkAddress("127.0.0.1", server.getLocalPort());
		Replica replica = new Replica("replica-1", 0, "desk", address, new DataCentre("dc-1"), 1, false,
				Optional.empty(), Optional.empty());
		return new ReplicaConnections(this.vertx, new GatewayMetrics(), "Id", new ReplicaConnections.Listener() {
		}).open(replica, HttpMethod.POST, "/", Optional.of("r1")).toCompletionStage().toCompletableFuture().join();
	}

}
