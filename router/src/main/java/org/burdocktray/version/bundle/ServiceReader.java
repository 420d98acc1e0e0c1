package org.burdocktray.version.bundle;

import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

import org.burdocktray.model.DataCentre;
import org.burdocktray.version.config.ConfigEntry;
import org.burdocktray.version.config.ConfigObject;
import org.burdocktray.version.config.NumberRange;

/**
 * Reads a plain service. Thread safety: stateless.
 */
final class ServiceReader {

	private static final Pattern METHOD = Pattern.compile("[A-Z]+|\\*");

	private static final Pattern PATH = Pattern.compile("/[^\\s?#]*");

	private static final NumberRange CONCURRENT_REQUESTS = NumberRange.of(1, 100_000);

	private static final NumberRange TIMEOUT_MILLIS = NumberRange.of(1, 3_600_000);

	private ServiceReader() {
	}

	static Service read(ConfigObject object) {
		List<ConfigEntry<Service.Replica>> replicas = object.entries("replicas", true, ServiceReader::readReplica);
		List<ConfigEntry<Service.Route>> routes = object.entries("routes", false, ServiceReader::readRoute);
		return new Service(object.segment("name"), values(replicas), values(routes),
				object.flag("removesDuplicatesByKey", false));
	}

	private static Service.Replica readReplica(ConfigObject object) {
		return new Service.Replica(object.name("name"), new DataCentre(object.segment("dataCentre")),
				object.address("address"), (int) object.wholeNumber("maxConcurrentRequests", CONCURRENT_REQUESTS));
	}

	private static Service.Route readRoute(ConfigObject object) {
		String method = object.matching("method", METHOD, "an HTTP method in upper case or *");
		boolean idempotent = object.flag("idempotent", ServiceRouteFinder.isSafe(method));
		return new Service.Route(method, object.matching("pathPrefix", PATH, "a path that starts with /"), idempotent,
				object.flag("keyRequired", !idempotent),
				object.wholeNumber("timeoutMillis", TIMEOUT_MILLIS, ServiceRouteFinder.DEFAULT_TIMEOUT_MILLIS));
	}

	private static <T> List<T> values(List<ConfigEntry<T>> entries) {
		return entries.stream().map(ConfigEntry::value).flatMap(Optional::stream).toList();
	}

}
