package org.burdocktray.version.bundle;

import java.util.List;

import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;

/**
 * A plain service, which is not served by engines. Thread safety: immutable.
 *
 * @param name the name in the path of callers' requests
 * @param replicas the upstreams that serve it
 * @param routes the rules for calls; the first matching route applies
 * @param removesDuplicatesByKey whether the service itself executes the calls of an
 * idempotency key at most once
 */
public record Service(String name, List<Replica> replicas, List<Route> routes, boolean removesDuplicatesByKey) {

	public Service {
		replicas = List.copyOf(replicas);
		routes = List.copyOf(routes);
	}

	/**
	 * An upstream that serves a plain service.
	 *
	 * @param name the unique name of the upstream
	 * @param dataCentre the data centre in which it runs
	 * @param address its HTTP address
	 * @param maxConcurrentRequests the maximum number of concurrent requests
	 */
	public record Replica(String name, DataCentre dataCentre, NetworkAddress address, int maxConcurrentRequests) {

	}

	/**
	 * The rule for calls with a method and path prefix.
	 *
	 * @param method the HTTP method, upper case, or {@code *} for any
	 * @param pathPrefix the prefix of the path within the service, starting with a slash
	 * @param idempotent whether a call may be executed more than once
	 * @param keyRequired whether an idempotency key is required
	 * @param timeoutMillis the time limit of a call
	 */
	public record Route(String method, String pathPrefix, boolean idempotent, boolean keyRequired, long timeoutMillis) {

	}

}
