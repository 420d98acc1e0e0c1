package org.burdocktray.version.bundle;

import java.util.Set;

/**
 * Finds the route of a call to a plain service. Invariant: a call without a matching
 * route is treated as idempotent only if its HTTP method is safe. Thread safety:
 * stateless.
 */
public final class ServiceRouteFinder {

	static final long DEFAULT_TIMEOUT_MILLIS = 30_000;

	private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD", "OPTIONS", "TRACE");

	private static final String ANY_METHOD = "*";

	private ServiceRouteFinder() {
	}

	/**
	 * Returns the first route that matches a call, or a default route if none matches.
	 * @param service the service
	 * @param method the HTTP method, upper case
	 * @param path the path within the service, starting with a slash
	 * @return the route
	 */
	public static Service.Route find(Service service, String method, String path) {
		return service.routes()
			.stream()
			.filter((route) -> matches(route, method, path))
			.findFirst()
			.orElseGet(() -> defaultRoute(method));
	}

	static boolean isSafe(String method) {
		return SAFE_METHODS.contains(method);
	}

	private static Service.Route defaultRoute(String method) {
		boolean isSafe = isSafe(method);
		return new Service.Route(method, "/", isSafe, !isSafe, DEFAULT_TIMEOUT_MILLIS);
	}

	private static boolean matches(Service.Route route, String method, String path) {
		boolean isMethodMatch = ANY_METHOD.equals(route.method()) || route.method().equals(method);
		return isMethodMatch && hasPathPrefix(route.pathPrefix(), path);
	}

	// A prefix must end at a segment boundary, so that /stock doesn't match /stocktaking.
	private static boolean hasPathPrefix(String prefix, String path) {
		if (!path.startsWith(prefix)) {
			return false;
		}
		return prefix.endsWith("/") || path.length() == prefix.length() || path.charAt(prefix.length()) == '/';
	}

}
