package org.burdocktray.process.serve.gateway;

import java.util.Optional;

import io.vavr.control.Either;
import org.burdocktray.connection.platform.StoredObject;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.version.rules.RoutingRules;

/**
 * Decodes the platform's objects. Thread safety: implementations are stateless.
 */
public interface ObjectCodec {

	/**
	 * Returns the kind of the object that holds the rules.
	 * @return the kind
	 */
	String rulesKind();

	/**
	 * Decodes the rules.
	 * @param object an object of the kind {@link #rulesKind}
	 * @return the rules, empty when the object's name is not that of the rules, or an
	 * error message
	 */
	Either<String, Optional<RoutingRules>> readRules(StoredObject object);

	/**
	 * Returns the kind of the replicas' entries.
	 * @return the kind
	 */
	String replicasKind();

	/**
	 * Decodes the entry of a replica.
	 * @param object an object of the kind {@link #replicasKind}
	 * @return the replica, or an error message
	 */
	Either<String, Replica> readReplica(StoredObject object);

}
