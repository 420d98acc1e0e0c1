package org.burdocktray.standins.gateway;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;

/**
 * A stand-in for a replica of a plain service. Invariant: each signature that it sends
 * belongs to one run of one request. Thread safety: see {@link ReplicaStandIn}; what
 * returns runs and answers may be called from any thread.
 */
public final class PlainReplicaStandIn extends ReplicaStandIn {

	private static final int OK = 200;

	private static final int INTERNAL_SERVER_ERROR = 500;

	private final List<String> executedRequestIds = new CopyOnWriteArrayList<>();

	private final Map<String, Answer> answers = new ConcurrentHashMap<>();

	private double failedShare;

	private Random failureRandom = new Random(0);

	private volatile Behaviour behaviour = Behaviour.RESPOND;

	private volatile long workMillis;

	private volatile int paddingBytes;

	private volatile Optional<SecondAnswers> secondAnswers = Optional.empty();

	/**
	 * Creates a replica.
	 * @param id the id of the replica
	 */
	public PlainReplicaStandIn(String id) {
		super(id);
	}

	/**
	 * Sets how the replica handles subsequent requests.
	 * @param newBehaviour the behaviour
	 */
	public void setBehaviour(Behaviour newBehaviour) {
		this.behaviour = newBehaviour;
	}

	/**
	 * Sets how long the replica works on a request.
	 * @param millis the time until its response
	 */
	public void setWorkMillis(long millis) {
		this.workMillis = millis;
	}

	/**
	 * Sets by how much the bodies of the replica's responses are longer than their text.
	 * @param bytes the number of bytes that follow the text
	 */
	public void setPaddingBytes(int bytes) {
		this.paddingBytes = bytes;
	}

	/**
	 * Lets some runs fail at once: they answer with status 500 instead of what the
	 * behaviour says. Must be called before the start.
	 * @param share the share of runs
	 * @param seed the seed by which the replica draws which
	 */
	public void setFailures(double share, long seed) {
		this.failedShare = share;
		this.failureRandom = new Random(seed);
	}

	/**
	 * Lets the replica send second answers. They are successes, also those to a run that
	 * failed. Must be called before the start.
	 * @param wholeShare the share of its answers to which it sends a whole second one
	 * @param partialShare the share of its other answers to which it sends a second one
	 * of which only the beginning comes before the next answer; the rest follows behind
	 * that, or never
	 * @param seed the seed by which it draws which, and when
	 */
	public void setSecondAnswers(double wholeShare, double partialShare, long seed) {
		this.secondAnswers = Optional.of(new SecondAnswers(wholeShare, partialShare, seed));
	}

	/**
	 * Returns the ids of the requests that the replica executed.
	 * @return the ids in order of execution
	 */
	public List<String> executedRequestIds() {
		return this.executedRequestIds;
	}

	/**
	 * Returns what the runs answered. A run is contained before its answer is sent.
	 * @return the answers by signature, which may change while the replica runs
	 */
	public Map<String, Answer> answers() {
		return this.answers;
	}

	/**
	 * Returns the replica's entry in the metadata store.
	 * @param service the name of the replica's service
	 * @param zone the name of its data centre
	 * @param state its state, {@code ready} for one that takes requests
	 * @return the entry as JSON
	 */
	public String storeEntry(String service, String zone, String state) {
		return new JsonObject().put("service", service)
			.put("address", address())
			.put("zone", zone)
			.put("slots", 8)
			.put("state", state)
			.put("sequence", 1)
			.put("born", 1)
			.encode();
	}

	@Override
	void addReplicaRoutes(Router router) {
		router.route().handler(this::handleRequest);
	}

	private void handleRequest(RoutingContext context) {
		recordArrival(context);
		this.secondAnswers.ifPresent((second) -> second.onRequest(context.request().connection()));
		if (rejectToPause(context)) {
			return;
		}
		if (this.behaviour == Behaviour.REJECT) {
			context.response().setStatusCode(503).putHeader("X-Burdocktray-Not-Executed", "1").end();
			return;
		}
		String requestId = context.request().getHeader("X-Burdocktray-Request-Id");
		this.executedRequestIds.add(requestId);
		if (isEnding(context)) {
			endBecauseOfRequest(requestId);
			return;
		}
		if (this.failureRandom.nextDouble() < this.failedShare) {
			respond(context, requestId, INTERNAL_SERVER_ERROR);
			return;
		}
		if (this.behaviour == Behaviour.NEVER_RESPOND) {
			return;
		}
		if (this.behaviour == Behaviour.LOSE_RESPONSE) {
			closeConnection(context);
			return;
		}
		continueAfter(this.workMillis, () -> respond(context, requestId, OK));
	}

	private void respond(RoutingContext context, String requestId, int status) {
		if (hasFailed() || context.response().closed()) {
			return;
		}
		String place = id() + " for " + context.request().getHeader("X-Burdocktray-Tenant")
				+ "x".repeat(this.paddingBytes);
		String success = "ran at " + place;
		String body = (status == OK) ? success : "failed at " + place;
		String signature = "signed-by-" + id() + "-" + this.answers.size();
		this.answers.put(signature, new Answer(requestId, status, body));
		String responseId = (this.behaviour == Behaviour.WRONG_REQUEST_ID) ? "another" : requestId;
		context.response()
			.setStatusCode(status)
			.putHeader(WireHeaders.REQUEST_ID, responseId)
			.putHeader(WireHeaders.SIGNATURE, signature)
			.end(body)
			.onSuccess((sent) -> this.secondAnswers.ifPresent((second) -> second.onAnswer(vertx(),
					context.request().connection(), formatSuccess(signature, responseId, success))));
	}

	private static String formatSuccess(String signature, String requestId, String body) {
		return "HTTP/1.1 200 OK\r\n" + WireHeaders.SIGNATURE + ": " + signature + "\r\n" + WireHeaders.REQUEST_ID + ": "
				+ requestId + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
	}

	/**
	 * What a run of a request answered. Thread safety: immutable.
	 *
	 * @param requestId the id of the request that ran
	 * @param status the HTTP status code
	 * @param body the body
	 */
	public record Answer(String requestId, int status, String body) {

	}

	/**
	 * How the replica handles a request.
	 */
	public enum Behaviour {

		/** Executes the request and responds. */
		RESPOND,

		/** Rejects the request without executing it. */
		REJECT,

		/** Executes the request and closes the connection without a response. */
		LOSE_RESPONSE,

		/** Executes the request and never responds; the connection stays open. */
		NEVER_RESPOND,

		/** Executes the request and responds with the id of another request. */
		WRONG_REQUEST_ID

	}

}
