package org.burdocktray.standins.service;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

import io.vertx.core.buffer.Buffer;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import org.burdocktray.standins.HttpStandIn;
import org.burdocktray.standins.Problem;

/**
 * A stand-in for a plain service that logs the calls it executes. The log contains a call
 * if and only if it was executed. With removal of duplicates, each idempotency key is
 * executed at most once. Thread safety: all state except the log is confined to the event
 * loop; see {@link HttpStandIn} for the life cycle.
 */
public final class ServiceStandIn extends HttpStandIn {

	private final boolean removesDuplicates;

	private final Queue<Execution> log = new ConcurrentLinkedQueue<>();

	private long executionCount;

	private final Map<String, Execution> executionByKey = new HashMap<>();

	private ServiceFaults faults = ServiceFaults.NONE;

	/**
	 * Creates a service.
	 * @param removesDuplicates whether a call with an idempotency key that was executed
	 * gets the first response again without an execution
	 */
	public ServiceStandIn(boolean removesDuplicates) {
		this.removesDuplicates = removesDuplicates;
	}

	/**
	 * Returns a copy of the log. May be called from any thread, also after a crash.
	 * @return the executions in order
	 */
	public List<Execution> log() {
		return List.copyOf(this.log);
	}

	/**
	 * Replaces the active faults, as a PUT to {@code /standin/faults} does. May be called
	 * from any thread except the event loop.
	 * @param newFaults the new faults
	 */
	public void applyFaults(ServiceFaults newFaults) {
		runOnEventLoop(() -> replaceFaults(newFaults));
	}

	@Override
	protected void addRoutes(Router router) {
		router.get("/standin/log").handler((context) -> respondNdjson(context, this.log));
		router.get("/standin/faults").handler((context) -> respond(context, 200, this.faults));
		router.put("/standin/faults").handler(this::setFaults);
		router.route().handler((context) -> runAfter(this.faults.delayMillis(), () -> handle(context)));
	}

	private void setFaults(RoutingContext context) {
		replaceFaults(decodeBody(context, ServiceFaults.class));
		respondEmpty(context, 204);
	}

	private void replaceFaults(ServiceFaults newFaults) {
		this.faults = newFaults;
	}

	private void handle(RoutingContext context) {
		if (this.faults.droppedCalls() > 0) {
			this.faults = this.faults.withDroppedCalls(this.faults.droppedCalls() - 1);
			closeConnection(context);
			return;
		}
		if (this.faults.unavailable() || this.faults.leaving()) {
			respond(context, 503, Problem.notRun(this.faults.leaving() ? "leaving" : "unavailable"));
			return;
		}
		Buffer body = Optional.ofNullable(context.body().buffer()).orElseGet(Buffer::buffer);
		Execution execution = execute(context, body);
		if (this.faults.crashesOn(body.toString())) {
			crash();
			return;
		}
		if (this.faults.lostAnswers() > 0) {
			this.faults = this.faults.withLostAnswers(this.faults.lostAnswers() - 1);
			closeConnection(context);
			return;
		}
		runAfter(this.faults.answerDelayMillis(), () -> respond(context, 200, execution));
	}

	private Execution execute(RoutingContext context, Buffer body) {
		String key = context.request().headers().get("Idempotency-Key");
		if (this.removesDuplicates && key != null && this.executionByKey.containsKey(key)) {
			return this.executionByKey.get(key);
		}
		Execution execution = new Execution(++this.executionCount, context.request().method().name(),
				context.request().uri(), Optional.ofNullable(key).orElse(""),
				Optional.ofNullable(context.request().getHeader("X-Request-Id")).orElse(""), digest(body));
		this.log.add(execution);
		this.executionByKey.put(execution.idempotencyKey(), execution);
		return execution;
	}

	private static String digest(Buffer body) {
		try {
			MessageDigest digest = MessageDigest.getInstance("SHA-256");
			return HexFormat.of().formatHex(digest.digest(body.getBytes()));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is not available", ex);
		}
	}

}
