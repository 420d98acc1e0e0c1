package org.burdocktray.process.serve.gateway;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import org.burdocktray.process.directory.Replica;

/**
 * The names by which the quarantine knows replicas. A replica that has started again
 * under its id has another name, since it may crash again. Thread safety: stateless.
 */
final class UpstreamNames {

	private UpstreamNames() {
	}

	static String of(Replica replica) {
		return replica.id() + '/' + replica.startedAtMillis();
	}

	static Set<String> of(List<Replica> replicas) {
		return replicas.stream().map(UpstreamNames::of).collect(Collectors.toUnmodifiableSet());
	}

}
