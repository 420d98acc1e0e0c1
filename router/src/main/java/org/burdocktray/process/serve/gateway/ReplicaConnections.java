package org.burdocktray.process.serve.gateway;

import java.util.Map;
import java.util.Optional;
import java.util.WeakHashMap;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.SocketAddress;
import org.burdocktray.connection.http.AnswerBoundaries;
import org.burdocktray.connection.http.MergedAnswer;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.process.directory.Replica;

/**
 * The connections to replicas. A request that must not be repeated gets a connection of
 * its own: if a replica closes a pooled connection while a request is being sent on it,
 * it is unknown whether the replica has read the request. Invariant: a pooled connection
 * carries no request that is one of its last ones again, so that the id in an answer,
 * which names the request, identifies the attempt: a replica may answer an earlier
 * attempt once more. Thread safety: confined to one event loop.
 */
final class ReplicaConnections {

	private static final int CONNECT_TIMEOUT_MILLIS = 300;

	/** Shorter than the time for which replicas keep idle connections. */
	private static final int KEEP_ALIVE_SECONDS = 5;

	private static final int MAX_CONNECTIONS_PER_REPLICA = 512;

	private static final int DEFAULT_PORT = 80;

	/**
	 * Closing a connection discards what has not been sent, as a request that was
	 * cancelled must not arrive any more.
	 */
	private static final int DISCARD_UNSENT = 0;

	private static final String FILTER_NAME = "foreign-answers";

	private static final long MAX_RESPONSE_BYTES = 4 << 20;

	private static final long MAX_BUFFERED_RESPONSE_BYTES = 16 << 20;

	private static final double BUFFERED_RESPONSES_HEAP_SHARE = 0.1;

	private final String requestIdHeader;

	private final Listener listener;

	private final HttpClient pooledClient;

	private final HttpClient singleUseClient;

	private final ResponseReader responses;

	/**
	 * The last requests of each connection; those of single-use ones are not recorded.
	 */
	private final Map<HttpConnection, CarriedRequests> carriedRequests = new WeakHashMap<>();

	/**
	 * Creates connections.
	 * @param vertx runs them
	 * @param metrics counts responses that are too large
	 * @param requestIdHeader the header that holds the id of a request
	 * @param listener is told of new connections and of answers that belong to no request
	 */
	ReplicaConnections(Vertx vertx, GatewayMetrics metrics, String requestIdHeader, Listener listener) {
		this.requestIdHeader = requestIdHeader;
		this.listener = listener;
		this.pooledClient = createClient(vertx, options().setKeepAlive(true).setKeepAliveTimeout(KEEP_ALIVE_SECONDS));
		this.singleUseClient = createClient(vertx, options().setKeepAlive(false));
		this.responses = new ResponseReader(vertx, MAX_RESPONSE_BYTES, maxBufferedBytes(),
				metrics::recordOversizedResponse);
	}

	/**
	 * Opens a request on a pooled or a new connection. Nothing is sent before the body
	 * is.
	 * @param replica the replica
	 * @param method the HTTP method
	 * @param uri the path and query
	 * @param repeatableId the id of a request that may be sent again, so that it can use
	 * a pooled connection; empty for others
	 * @return the request; fails only if nothing was sent
	 */
	Future<HttpClientRequest> open(Replica replica, HttpMethod method, String uri, Optional<String> repeatableId) {
		RequestOptions options = new RequestOptions()
			.setServer(SocketAddress.inetSocketAddress(replica.address().port(), replica.address().ip()))
			.setHost(replica.address().ip())
			.setPort(replica.address().port())
			.setMethod(method)
			.setURI(uri);
		Future<HttpClientRequest> opened = repeatableId.isPresent() ? openPooled(options, repeatableId.get())
				: this.singleUseClient.request(options);
		return opened.onSuccess(this.responses::limitInterimResponses);
	}

	private static long maxBufferedBytes() {
		return (long) Math.min(MAX_BUFFERED_RESPONSE_BYTES,
				BUFFERED_RESPONSES_HEAP_SHARE * Runtime.getRuntime().maxMemory());
	}

	private Future<HttpClientRequest> openPooled(RequestOptions options, String requestId) {
		return this.pooledClient.request(options).compose((request) -> {
			boolean isNew = carriedRequests(request.connection()).add(requestId);
			if (isNew) {
				return Future.succeededFuture(request);
			}
			request.reset();
			return this.singleUseClient.request(options);
		});
	}

	/**
	 * Returns whether a response without an id may belong to an earlier request.
	 * @param connection the connection on which it came
	 * @return false if the connection has carried one request only
	 */
	boolean hasCarriedOthers(HttpConnection connection) {
		return carriedRequests(connection).hasSeveral();
	}

	private CarriedRequests carriedRequests(HttpConnection connection) {
		return this.carriedRequests.computeIfAbsent(connection, (added) -> new CarriedRequests());
	}

	/**
	 * Returns the reader for responses on these connections.
	 * @return the reader, which bounds what all of them hold
	 */
	ResponseReader responses() {
		return this.responses;
	}

	Future<Void> close() {
		return Future.all(this.pooledClient.close(), this.singleUseClient.close()).mapEmpty();
	}

	private HttpClient createClient(Vertx vertx, HttpClientOptions options) {
		return vertx.httpClientBuilder()
			.with(options)
			.with(new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS_PER_REPLICA)
				.setCleanerPeriod((int) TimeUnit.SECONDS.toMillis(1)))
			.withConnectHandler(this::onConnected)
			.build();
	}

	private void onConnected(HttpConnection connection) {
		SocketAddress remote = connection.remoteAddress();
		NetworkAddress server = new NetworkAddress(remote.hostAddress(), remote.port());
		AnswerBoundaries.check(connection, this.listener::onMergedAnswer)
			.ifPresent((pipeline) -> pipeline.addAfter(AnswerBoundaries.HEAD_CHECK, FILTER_NAME,
					new ForeignAnswerFilter(server, connection.localAddress().port(), carriedRequests(connection),
							this.requestIdHeader, this.listener::onForeignAnswer)));
		this.listener.onConnected(server);
	}

	private static HttpClientOptions options() {
		return new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
			.setTcpNoDelay(true)
			.setSoLinger(DISCARD_UNSENT)
			.setDefaultPort(DEFAULT_PORT);
	}

	/**
	 * Is told of what happens on the connections.
	 */
	interface Listener {

		/**
		 * Handles a new connection.
		 * @param server the address of the replica
		 */
		default void onConnected(NetworkAddress server) {
		}

		/**
		 * Handles an answer that was passed over.
		 * @param answer the answer
		 */
		default void onForeignAnswer(ForeignAnswer answer) {
		}

		/**
		 * Handles an answer that holds the beginning of another one.
		 * @param answer the answer
		 */
		default void onMergedAnswer(MergedAnswer answer) {
		}

	}

}
