package org.burdocktray.standins.platform;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import io.vertx.core.Handler;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import org.burdocktray.standins.HttpStandIn;
import org.burdocktray.standins.JsonBodies;
import org.burdocktray.standins.Problem;

/**
 * A stand-in for the platform's object API and list of VMs, with fault injection. A call
 * that gets a {@code 503} response, or is dropped before its execution, has no effect.
 * Thread safety: all state is confined to the event loop; see {@link HttpStandIn} for the
 * life cycle.
 */
public final class PlatformStandIn extends HttpStandIn {

	private static final String OBJECTS_PATH = "/v1/objects/";

	private static final String RETRY_AFTER_SECONDS = "1";

	private static final long KEEP_ALIVE_MILLIS = 1_000;

	private final ObjectStore store = new ObjectStore();

	private final DelayedVmList vms = new DelayedVmList();

	private final List<Watch> watches = new ArrayList<>();

	private final Map<CallKind, Long> counts = new EnumMap<>(CallKind.class);

	private PlatformFaults faults = PlatformFaults.NONE;

	/**
	 * Replaces the active faults, as a PUT to {@code /standin/faults} does. May be called
	 * from any thread except the event loop.
	 * @param newFaults the new faults
	 */
	public void applyFaults(PlatformFaults newFaults) {
		runOnEventLoop(() -> replaceFaults(newFaults));
	}

	/**
	 * Sets the list of VMs. May be called from any thread except the event loop.
	 * @param list the list, which is returned to callers once the lag has passed
	 */
	public void applyVms(List<ListedVm> list) {
		runOnEventLoop(() -> this.vms.set(list, System.nanoTime()));
	}

	@Override
	protected void addRoutes(Router router) {
		for (CallKind kind : CallKind.values()) {
			this.counts.put(kind, 0L);
		}
		router.get("/v1/objects").handler(withFaults(CallKind.LIST, this::list));
		router.get(OBJECTS_PATH + "*").handler(withFaults(CallKind.READ, this::read));
		router.post(OBJECTS_PATH + "*").handler(withFaults(CallKind.CREATE, this::create));
		router.put(OBJECTS_PATH + "*").handler(withFaults(CallKind.UPDATE, this::update));
		router.get("/v1/watch").handler(withFaults(CallKind.WATCH, this::watch));
		router.get("/v1/vms").handler(withFaults(CallKind.VMS, this::listVms));
		router.put("/standin/faults").handler(this::setFaults);
		router.get("/standin/faults").handler((context) -> respond(context, 200, this.faults));
		router.put("/standin/vms").handler(this::setVms);
		router.get("/standin/counts").handler((context) -> respond(context, 200, this.counts));
		vertx().setPeriodic(KEEP_ALIVE_MILLIS, (timer) -> this.watches.forEach(Watch::keepAlive));
	}

	private Handler<RoutingContext> withFaults(CallKind kind, Consumer<RoutingContext> action) {
		return (context) -> runAfter(this.faults.delayMillis(), () -> handleCall(kind, context, action));
	}

	private void handleCall(CallKind kind, RoutingContext context, Consumer<RoutingContext> action) {
		if (this.faults.droppedCalls() > 0) {
			this.faults = this.faults.withDroppedCalls(this.faults.droppedCalls() - 1);
			count(CallKind.FAULTED);
			closeConnection(context);
			return;
		}
		if (this.faults.outage()) {
			count(CallKind.FAULTED);
			respond(context, 503, Problem.notRun("outage"));
			return;
		}
		if (this.faults.overloaded()) {
			count(CallKind.FAULTED);
			context.response().putHeader("Retry-After", RETRY_AFTER_SECONDS);
			respond(context, 429, Problem.notRun("too many calls"));
			return;
		}
		count(kind);
		action.accept(context);
	}

	private void count(CallKind kind) {
		this.counts.merge(kind, 1L, Long::sum);
	}

	private void list(RoutingContext context) {
		respond(context, 200, new PlatformBodies.Objects(this.store.list(prefix(context)), this.store.version()));
	}

	private void read(RoutingContext context) {
		this.store.read(key(context))
			.ifPresentOrElse((object) -> respond(context, 200, object),
					() -> respond(context, 404, Problem.notRun("no such object")));
	}

	private void create(RoutingContext context) {
		String value = decodeBody(context, PlatformBodies.Creation.class).value();
		finishWrite(context, this.store.create(key(context), value));
	}

	private void update(RoutingContext context) {
		PlatformBodies.Update update = decodeBody(context, PlatformBodies.Update.class);
		finishWrite(context, this.store.update(key(context), update.expectedVersion(), update.value()));
	}

	private void finishWrite(RoutingContext context, WriteOutcome outcome) {
		outcome.object().ifPresent((object) -> this.watches.forEach((watch) -> watch.send(object)));
		if (this.faults.lostWriteAnswers() > 0) {
			this.faults = this.faults.withLostWriteAnswers(this.faults.lostWriteAnswers() - 1);
			closeConnection(context);
			return;
		}
		outcome.object()
			.ifPresentOrElse((object) -> respond(context, outcome.statusCode(), object),
					() -> respond(context, outcome.statusCode(), Problem.notRun("not written")));
	}

	private void watch(RoutingContext context) {
		HttpServerResponse response = context.response();
		response.setChunked(true).putHeader("Content-Type", "application/x-ndjson");
		Watch watch = new Watch(prefix(context), response);
		response.closeHandler((closed) -> this.watches.remove(watch));
		// The blank line sends the response head immediately.
		watch.keepAlive();
		long afterVersion = Long.parseLong(context.request().getParam("afterVersion", "0"));
		this.store.changedAfter(watch.prefix(), afterVersion).forEach(watch::send);
		this.watches.add(watch);
	}

	private void listVms(RoutingContext context) {
		respond(context, 200,
				new PlatformBodies.Vms(this.vms.visibleAt(System.nanoTime(), this.faults.vmsLagMillis())));
	}

	private void setVms(RoutingContext context) {
		this.vms.set(decodeBody(context, PlatformBodies.Vms.class).items(), System.nanoTime());
		respondEmpty(context, 204);
	}

	private void setFaults(RoutingContext context) {
		replaceFaults(decodeBody(context, PlatformFaults.class));
		respondEmpty(context, 204);
	}

	private void replaceFaults(PlatformFaults newFaults) {
		this.faults = newFaults;
		if (this.faults.outage()) {
			this.watches.forEach(Watch::close);
			this.watches.clear();
		}
	}

	private static String prefix(RoutingContext context) {
		return context.request().getParam("prefix", "");
	}

	private static String key(RoutingContext context) {
		String encoded = context.request().path().substring(OBJECTS_PATH.length());
		return URLDecoder.decode(encoded.replace("+", "%2B"), StandardCharsets.UTF_8);
	}

	private record Watch(String prefix, HttpServerResponse response) {

		void send(VersionedObject object) {
			if (object.key().startsWith(this.prefix)) {
				this.response.write(JsonBodies.encode(object) + "\n");
			}
		}

		void keepAlive() {
			this.response.write("\n");
		}

		void close() {
			this.response.end();
		}

	}

}
