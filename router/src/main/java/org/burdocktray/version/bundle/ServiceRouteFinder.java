package org.burdocktray.version.bundle;

import java.util.Set;

/**
 * Finds the rule for a call of a plain service. Invariant: a call that no route lists is
 * idempotent only when its method is safe. Thread safety: stateless.
 */
public final class ServiceRouteFinder {

	static final long DEFAULT_TIMEOUT_MILLIS = 30_000;

	private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD", "OPTIONS", "TRACE");

	private static final String ANY_METHOD = "*";

	private ServiceRouteFinder() {
	}

	/**
	 * Returns the first route that matches a call, or the default rule.
	 * @param service the service
	 * @param method the HTTP method, upper case
	 * @param path the path below the service, starting with a slash
	 * @return the rule to apply
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
		boolean safe = isSafe(method);
		return new Service.Route(method, "/", safe, !safe, DEFAULT_TIMEOUT_MILLIS);
	}

	private static boolean matches(Service.Route route, String method, String path) {
		boolean sameMethod = ANY_METHOD.equals(route.method()) || route.method().equals(method);
		return sameMethod && hasPathPrefix(route.pathPrefix(), path);
	}

	// A prefix ends at a slash, so that the rule of /stock never covers /stocktaking.
	private static boolean hasPathPrefix(String prefix, String path) {
		if (!path.startsWith(prefix)) {
			return false;
		}
		return prefix.endsWith("/") || path.length() == prefix.length() || path.charAt(prefix.length()) == '/';
	}

}
