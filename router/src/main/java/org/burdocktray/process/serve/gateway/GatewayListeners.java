package org.burdocktray.process.serve.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import org.burdocktray.connection.caller.ClientConnections;
import org.burdocktray.connection.caller.ClientLimits;
import org.burdocktray.connection.caller.ClientMemory;
import org.burdocktray.connection.caller.LimitedTransport;
import org.burdocktray.connection.caller.RefusalLog;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.process.metrics.CachedScrape;
import org.burdocktray.process.settings.ClientOptions;
import org.burdocktray.version.rules.CallerLimits;
import org.jboss.logging.Logger;

/**
 * The addresses on which a gateway listens: those of callers, of the load balancer's
 * readiness checks, of metrics, and of the VMs whose requests it relays. Thread safety:
 * confined to one event loop.
 */
final class GatewayListeners {

	private static final Logger LOGGER = Logger.getLogger(GatewayListeners.class);

	private static final int OK = 200;

	private static final int SERVICE_UNAVAILABLE = 503;

	/**
	 * What the codec reads; {@link ClientConnections} enforces the limit of the rules.
	 */
	private static final int CODEC_HEADER_BYTES = 1 << 20;

	private static final int ACCEPT_BACKLOG = 1_024;

	private static final int MAX_SERVICE_CONNECTIONS = 64;

	/** The limits of callers before the first rules, and those of all others. */
	private static final CallerLimits DEFAULT_LIMITS = new CallerLimits(65_536, 0, 10_000, 300_000);

	/** What other VMs add to the header of a caller whose request they relay. */
	private static final int RELAY_HEADER_BYTES = 8_192;

	private final Vertx vertx;

	private final LimitedTransport transport;

	private final GatewaySettings settings;

	private final ClientOptions options;

	private final GatewayMetrics metrics;

	private final Supplier<Optional<CallerLimits>> limits;

	private final BooleanSupplier readiness;

	private final ClientMemory memory;

	private final CachedScrape scrape;

	private final List<ClientConnections> connections = new ArrayList<>();

	/**
	 * Creates the listeners of a process, which do not listen yet.
	 * @param vertx runs them
	 * @param transport the transport of vertx
	 * @param settings the addresses and the size of the VM
	 * @param options what clients may take together
	 * @param metrics what is scraped
	 * @param limits the limits of callers by the rules in force, empty without rules
	 * @param readiness whether the load balancer should send callers
	 */
	GatewayListeners(Vertx vertx, LimitedTransport transport, GatewaySettings settings, ClientOptions options,
			GatewayMetrics metrics, Supplier<Optional<CallerLimits>> limits, BooleanSupplier readiness) {
		this.vertx = vertx;
		this.transport = transport;
		this.settings = settings;
		this.options = options;
		this.metrics = metrics;
		this.limits = limits;
		this.readiness = readiness;
		this.memory = ClientMemory.ofHeap(options.memory());
		this.scrape = new CachedScrape(metrics::scrape, System::nanoTime);
	}

	/**
	 * Listens to callers, readiness checks and scrapes.
	 * @param callers handles the requests of callers
	 * @return completes when all addresses are listened on
	 */
	Future<Void> listen(Handler<HttpServerRequest> callers) {
		Future<HttpServer> callerServer = createServer("callers", this.settings.callerAddress(), Math
			.min(this.options.maxConnections(this.settings.size().maxDescriptors()), this.memory.maxConnections()),
				this::callerLimits)
			.requestHandler(callers)
			.listen();
		Future<HttpServer> readinessServer = createServer("readiness", this.settings.readinessAddress(),
				MAX_SERVICE_CONNECTIONS, () -> toClientLimits(DEFAULT_LIMITS))
			.requestHandler((request) -> request.response()
				.setStatusCode(this.readiness.getAsBoolean() ? OK : SERVICE_UNAVAILABLE)
				.end())
			.listen();
		Future<?> metricsServer = this.settings.metricsAddress()
			.<Future<?>>map((address) -> createServer("metrics", address, MAX_SERVICE_CONNECTIONS,
					() -> toClientLimits(DEFAULT_LIMITS))
				.requestHandler(this::serveMetrics)
				.listen())
			.orElse(Future.succeededFuture());
		return Future.all(callerServer, readinessServer, metricsServer)
			.onSuccess((all) -> LOGGER.infof("Gateway listens: vm=%s callers=%s", this.settings.vmName(),
					this.settings.callerAddress()))
			.mapEmpty();
	}

	/**
	 * Listens to VMs that relay requests. Callers are served without it too.
	 * @param relays handles the requests of other VMs
	 */
	void listenToRelays(Handler<HttpServerRequest> relays) {
		createServer("vms", this.settings.peerAddress(),
				this.options.maxVmConnections(this.settings.size().maxDescriptors()), this::vmLimits)
			.requestHandler(relays)
			.listen()
			.onFailure((cause) -> LOGGER.warnf("Relayed requests are not accepted: address=%s cause=%s",
					this.settings.peerAddress(), cause));
	}

	/**
	 * Enforces the time limits of clients.
	 * @param nowNanos the monotonic time
	 */
	void tick(long nowNanos) {
		this.connections.forEach((open) -> open.tick(nowNanos));
	}

	private ClientLimits callerLimits() {
		return toClientLimits(this.limits.get().orElse(DEFAULT_LIMITS));
	}

	private ClientLimits vmLimits() {
		int maxHeaderBytes = this.limits.get().orElse(DEFAULT_LIMITS).maxHeaderBytes() + RELAY_HEADER_BYTES;
		return new ClientLimits(maxHeaderBytes, DEFAULT_LIMITS.headerTimeoutMillis(),
				DEFAULT_LIMITS.idleTimeoutMillis(), this.options.writeTimeoutMillis());
	}

	private ClientLimits toClientLimits(CallerLimits rules) {
		return new ClientLimits(rules.maxHeaderBytes(), rules.headerTimeoutMillis(), rules.idleTimeoutMillis(),
				this.options.writeTimeoutMillis());
	}

	private HttpServer createServer(String name, NetworkAddress address, int maxConnections,
			Supplier<ClientLimits> clientLimits) {
		RefusalLog refusals = new RefusalLog(name,
				(refusal) -> this.metrics.recordRefusedClient(name, refusal.wireName()));
		ClientConnections open = new ClientConnections(maxConnections, clientLimits, this.memory, refusals);
		this.connections.add(open);
		this.transport.limit(address, maxConnections, refusals);
		HttpServerOptions serverOptions = new HttpServerOptions().setHost(address.ip())
			.setPort(address.port())
			.setMaxHeaderSize(CODEC_HEADER_BYTES)
			.setMaxInitialLineLength(CODEC_HEADER_BYTES)
			.setAcceptBacklog(ACCEPT_BACKLOG)
			.setTcpNoDelay(true)
			.setHttp2ClearTextEnabled(false)
			.setPerFrameWebSocketCompressionSupported(false)
			.setPerMessageWebSocketCompressionSupported(false)
			.setHandle100ContinueAutomatically(true);
		return this.vertx.createHttpServer(serverOptions).connectionHandler(open::add);
	}

	private void serveMetrics(HttpServerRequest request) {
		request.response().putHeader("Content-Type", "text/plain; version=0.0.4").end(this.scrape.get());
	}

}
