package org.burdocktray.process.serve.gateway;

import java.util.Optional;

import io.vavr.control.Either;
import org.burdocktray.connection.platform.StoredObject;
import org.burdocktray.process.directory.Replica;
import org.burdocktray.version.rules.RoutingRules;

/**
 * Reads the objects of the platform's kinds. Thread safety: implementations are
 * stateless.
 */
public interface ObjectCodec {

	/**
	 * Returns the kind that holds the rules.
	 * @return the kind
	 */
	String rulesKind();

	/**
	 * Reads the rules.
	 * @param object an object of the rules' kind
	 * @return the rules, empty for an object of another name, or what is wrong with them
	 */
	Either<String, Optional<RoutingRules>> readRules(StoredObject object);

	/**
	 * Returns the kind that lists the replicas.
	 * @return the kind
	 */
	String replicasKind();

	/**
	 * Reads the entry of a replica.
	 * @param object an object of the replicas' kind
	 * @return the replica, or what is wrong with the entry
	 */
	Either<String, Replica> readReplica(StoredObject object);

}
