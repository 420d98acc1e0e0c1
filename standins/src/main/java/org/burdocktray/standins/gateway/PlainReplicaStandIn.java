package org.burdocktray.standins.gateway;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;

import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;

/**
 * A stand-in for a replica of a plain service. Thread safety: see {@link ReplicaStandIn}.
 */
public final class PlainReplicaStandIn extends ReplicaStandIn {

	private final List<String> executedRequestIds = new CopyOnWriteArrayList<>();

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
	 * Lets the replica send some answers a second time. Must be called before the start.
	 * @param share the share of its answers
	 * @param seed the seed by which it draws which, and when
	 */
	public void setSecondAnswers(double share, long seed) {
		this.secondAnswers = Optional.of(new SecondAnswers(share, seed));
	}

	/**
	 * Returns the ids of the requests that the replica executed.
	 * @return the ids in order of execution
	 */
	public List<String> executedRequestIds() {
		return this.executedRequestIds;
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
		if (this.behaviour == Behaviour.NEVER_RESPOND) {
			return;
		}
		if (this.behaviour == Behaviour.LOSE_RESPONSE) {
			closeConnection(context);
			return;
		}
		continueAfter(this.workMillis, () -> respond(context, requestId));
	}

	private void respond(RoutingContext context, String requestId) {
		if (hasFailed() || context.response().closed()) {
			return;
		}
		String responseId = (this.behaviour == Behaviour.WRONG_REQUEST_ID) ? "another" : requestId;
		String body = "ran at " + id() + " for " + context.request().getHeader("X-Burdocktray-Tenant")
				+ "x".repeat(this.paddingBytes);
		context.response()
			.setStatusCode(200)
			.putHeader("X-Burdocktray-Request-Id", responseId)
			.putHeader("X-Burdocktray-Response-Signature", "signed-by-" + id())
			.end(body)
			.onSuccess((sent) -> this.secondAnswers.ifPresent((second) -> second.onAnswer(vertx(),
					context.request().connection(), formatAnswer(responseId, body))));
	}

	private String formatAnswer(String requestId, String body) {
		return "HTTP/1.1 200 OK\r\nX-Burdocktray-Request-Id: " + requestId
				+ "\r\nX-Burdocktray-Response-Signature: signed-by-" + id() + "\r\nContent-Length: " + body.length()
				+ "\r\n\r\n" + body;
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
