package org.burdocktray.standins.gateway;

import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import org.burdocktray.standins.FreezeGate;
import org.burdocktray.standins.HttpStandIn;

/**
 * A stand-in for a replica, which can end at any time, also because of a request: one
 * whose body is {@link #ENDING_BODY}, or with a prompt part whose id begins with
 * {@link #ENDING_PART_PREFIX}, ends each replica that begins to run it. A sound replica
 * can also fall silent for a while: it sends nothing and handles nothing that arrives,
 * its connections stay open, and afterwards it goes on with all of that in order. Thread
 * safety: see {@link HttpStandIn}; what ends or silences the replica may be called from
 * any thread.
 */
public abstract class ReplicaStandIn extends HttpStandIn {

	/** The body of requests that end replicas. */
	public static final String ENDING_BODY = "ends the replicas that run it";

	/** The beginning of the ids of prompt parts that end replicas. */
	public static final String ENDING_PART_PREFIX = "dead";

	private static final int SERVICE_UNAVAILABLE = 503;

	private final String id;

	private volatile ReplicaEnd howItEnds = ReplicaEnd.EXIT;

	private volatile EndMoment endMoment = EndMoment.BEFORE_HEAD;

	private volatile Optional<BiConsumer<ReplicaStandIn, String>> endListener = Optional.empty();

	private volatile Optional<String> namedLimit = Optional.empty();

	private volatile Consumer<String> arrivalListener = (requestId) -> {
	};

	private volatile boolean leaving;

	private volatile Optional<String> retryAfter = Optional.empty();

	private volatile Consumer<CallEvent> callListener = (event) -> {
	};

	private final FreezeGate gate = new FreezeGate(this::hasFailed);

	private final AtomicInteger silences = new AtomicInteger();

	private volatile boolean failed;

	ReplicaStandIn(String id) {
		this.id = id;
	}

	public final String id() {
		return this.id;
	}

	/**
	 * Sets how the replica ends. Must be called before the start.
	 * @param how how the replica ends
	 * @param listener is told when a request has ended the replica, with the id of the
	 * request
	 */
	public final void setEnd(ReplicaEnd how, BiConsumer<ReplicaStandIn, String> listener) {
		this.howItEnds = how;
		this.endListener = Optional.of(listener);
		if (how == ReplicaEnd.RESET) {
			resetConnectionsOnClose();
		}
	}

	/**
	 * Sets when a request ends the replica.
	 * @param moment the moment, relative to the response of the first replica
	 */
	public final void setEndMoment(EndMoment moment) {
		this.endMoment = moment;
	}

	/**
	 * Sets what the replica names in its responses as the number of requests a second
	 * that it takes.
	 * @param limit the value, empty for none
	 */
	public final void setNamedLimit(Optional<String> limit) {
		this.namedLimit = limit;
	}

	/**
	 * Sets who is told of each request that reaches the replica, also one that it
	 * rejects.
	 * @param listener receives the id of the request
	 */
	public final void setArrivalListener(Consumer<String> listener) {
		this.arrivalListener = listener;
	}

	/** Lets the replica say in all its responses that it leaves. It serves on. */
	public final void leave() {
		this.leaving = true;
	}

	/**
	 * Lets the replica reject all requests, and say for how long it wants no other one.
	 * @param seconds the value of the header, empty to serve again
	 */
	public final void setRetryAfter(Optional<String> seconds) {
		this.retryAfter = seconds;
	}

	/**
	 * Sets who is told of each call that arrives, and of each rejection that asks for a
	 * pause.
	 * @param listener receives the events
	 */
	public final void setCallListener(Consumer<CallEvent> listener) {
		this.callListener = listener;
	}

	/**
	 * Lets the replica fall silent, and go on afterwards. Where silences overlap, it goes
	 * on after the last one.
	 * @param silenceMillis how long it is silent
	 */
	public final void fallSilentFor(long silenceMillis) {
		this.silences.incrementAndGet();
		vertx().runOnContext((now) -> {
			this.gate.setFrozen(true);
			vertx().setTimer(silenceMillis, (timer) -> this.gate.setFrozen(this.silences.decrementAndGet() > 0));
		});
	}

	/**
	 * Returns whether the replica is silent for a while.
	 * @return false as well for a replica that has failed
	 */
	public final boolean isSilent() {
		return this.silences.get() > 0 && !this.failed;
	}

	/** Ends the replica for a reason of its own. */
	public final void end() {
		this.failed = true;
		if (this.howItEnds != ReplicaEnd.SILENCE) {
			crash();
		}
	}

	final void endBecauseOfRequest(String requestId) {
		if (!this.failed) {
			end();
			this.endListener.ifPresent((listener) -> listener.accept(this, requestId));
		}
	}

	final boolean hasFailed() {
		return this.failed;
	}

	final void setFailed() {
		this.failed = true;
	}

	/**
	 * Runs an action after a delay, or when the replica goes on if it is silent then.
	 * @param delayMillis the delay
	 * @param action the action, dropped if the replica has failed
	 */
	final void continueAfter(long delayMillis, Runnable action) {
		runAfter(delayMillis, () -> this.gate.submit(action));
	}

	final EndMoment endMoment() {
		return this.endMoment;
	}

	final void recordArrival(RoutingContext context) {
		this.arrivalListener.accept(context.request().getHeader(WireHeaders.REQUEST_ID));
	}

	// Returns whether the request is rejected.
	final boolean rejectToPause(RoutingContext context) {
		Optional<String> seconds = this.retryAfter;
		seconds.ifPresent((value) -> {
			context.response()
				.setStatusCode(SERVICE_UNAVAILABLE)
				.putHeader("X-Burdocktray-Not-Executed", "1")
				.putHeader(WireHeaders.RETRY_AFTER, value)
				.end();
			this.callListener.accept(new CallEvent(context.request().path(), System.nanoTime(), seconds));
		});
		return seconds.isPresent();
	}

	static boolean isEnding(RoutingContext context) {
		boolean hasEndingBody = context.body() != null && ENDING_BODY.equals(context.body().asString());
		return hasEndingBody || hasEndingPart(context.request().getHeader(WireHeaders.PROMPT_PARTS));
	}

	private static boolean hasEndingPart(String parts) {
		return parts != null
				&& Arrays.stream(parts.split(",")).anyMatch((part) -> part.trim().startsWith(ENDING_PART_PREFIX));
	}

	@Override
	protected final void addRoutes(Router router) {
		router.route().handler((context) -> this.gate.submit(() -> {
			this.callListener.accept(new CallEvent(context.request().path(), System.nanoTime(), Optional.empty()));
			if (this.leaving) {
				context.response().putHeader(WireHeaders.LEAVING, "1");
				this.callListener.accept(new CallEvent(context.request().path(), System.nanoTime(), Optional.of("")));
			}
			String requestId = context.request().getHeader(WireHeaders.REQUEST_ID);
			if (requestId != null) {
				context.response().putHeader(WireHeaders.REQUEST_ID, requestId);
			}
			this.namedLimit.ifPresent((limit) -> context.response().putHeader(WireHeaders.REQUEST_LIMIT, limit));
			context.next();
		}));
		router.get("/health").handler((context) -> respondEmpty(context, 200));
		addReplicaRoutes(router);
	}

	abstract void addReplicaRoutes(Router router);

	/**
	 * A call that arrives, or a response that states a wish. Thread safety: immutable.
	 *
	 * @param path the path of the call
	 * @param nanos when it arrived or was responded to
	 * @param wish for a response, the pause it asks for, or an empty text if it says that
	 * the replica leaves; empty for a call
	 */
	public record CallEvent(String path, long nanos, Optional<String> wish) {

	}

}
