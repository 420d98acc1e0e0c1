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
 * A plain service that logs what it executes. Invariant: a call is in the log exactly
 * when it was executed; with removal of duplicates a key is executed at most once. Thread
 * safety: all state but the log belongs to the event loop; see {@link HttpStandIn} for
 * the life cycle.
 */
public final class ServiceStandIn extends HttpStandIn {

	private final boolean removesDuplicates;

	private final Queue<Execution> log = new ConcurrentLinkedQueue<>();

	private long executionCount;

	private final Map<String, Execution> executionByKey = new HashMap<>();

	private ServiceFaults faults = ServiceFaults.NONE;

	/**
	 * Makes a service.
	 * @param removesDuplicates whether a key that was executed gets its first answer
	 */
	public ServiceStandIn(boolean removesDuplicates) {
		this.removesDuplicates = removesDuplicates;
	}

	/**
	 * Copies the log; can be called from any thread, also after a crash.
	 * @return the executions in their order
	 */
	public List<Execution> log() {
		return List.copyOf(this.log);
	}

	/**
	 * Puts faults in force, as a call to the fault control does; can be called from any
	 * thread but the event loop.
	 * @param newFaults the faults that replace the earlier ones
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
			throw new IllegalStateException("SHA-256 is part of every Java platform", ex);
		}
	}

}
