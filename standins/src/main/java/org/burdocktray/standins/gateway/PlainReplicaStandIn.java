package org.burdocktray.standins.gateway;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import org.burdocktray.standins.HttpStandIn;

/**
 * A replica of a plain service. Thread safety: see {@link HttpStandIn}.
 */
public final class PlainReplicaStandIn extends HttpStandIn {

	private final String id;

	private final List<String> executedRequestIds = new CopyOnWriteArrayList<>();

	private volatile Behaviour behaviour = Behaviour.RESPOND;

	/**
	 * Creates a replica.
	 * @param id its id
	 */
	public PlainReplicaStandIn(String id) {
		this.id = id;
	}

	/**
	 * Sets what becomes of the next requests.
	 * @param next the behaviour
	 */
	public void setBehaviour(Behaviour next) {
		this.behaviour = next;
	}

	/**
	 * Returns the ids of the requests that ran, in their order.
	 * @return the ids
	 */
	public List<String> executedRequestIds() {
		return this.executedRequestIds;
	}

	/**
	 * Returns what the replica registers in the store.
	 * @param service its service
	 * @param zone where it runs
	 * @param state its state
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
	protected void addRoutes(Router router) {
		router.route().handler(this::handleRequest);
	}

	private void handleRequest(RoutingContext context) {
		if (this.behaviour == Behaviour.REJECT) {
			context.response().setStatusCode(503).putHeader("X-Burdocktray-Not-Executed", "1").end();
			return;
		}
		String requestId = context.request().getHeader("X-Burdocktray-Request-Id");
		this.executedRequestIds.add(requestId);
		if (this.behaviour == Behaviour.NEVER_RESPOND) {
			return;
		}
		if (this.behaviour == Behaviour.LOSE_RESPONSE) {
			closeConnection(context);
			return;
		}
		String answeredId = (this.behaviour == Behaviour.WRONG_REQUEST_ID) ? "another" : requestId;
		context.response()
			.setStatusCode(200)
			.putHeader("X-Burdocktray-Request-Id", answeredId)
			.putHeader("X-Burdocktray-Response-Signature", "signed-by-" + this.id)
			.end("ran at " + this.id + " for " + context.request().getHeader("X-Burdocktray-Tenant"));
	}

	/**
	 * What becomes of a request.
	 */
	public enum Behaviour {

		/** It is run and answered. */
		RESPOND,

		/** It is turned away without being run. */
		REJECT,

		/** It is run, and the connection is closed without an answer. */
		LOSE_RESPONSE,

		/** It is run and never answered; the connection stays open. */
		NEVER_RESPOND,

		/** It is run, and the answer to another request is sent. */
		WRONG_REQUEST_ID

	}

}
