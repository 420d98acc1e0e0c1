package org.burdocktray.process.serve.gateway;

import java.util.Optional;

import org.burdocktray.model.NetworkAddress;
import org.burdocktray.process.limits.RequestLimit;
import org.burdocktray.process.limits.RetryAfter;

/**
 * The header fields of a replica's response that the gateway uses. Thread safety:
 * immutable.
 *
 * @param requestId the id of the request to which it responds
 * @param signature the signature of the replica, empty for a response that has none
 * @param notExecuted whether the replica states that it did not run the request
 * @param faultAddress the address of the failed engine, if an engine of the path reports
 * another one
 * @param instanceId the id of the replica, in responses to health checks
 * @param requestLimit what it says of the number of requests that the replica takes
 * @param retryAfter for how long a replica that rejects the request wants no other one
 * @param leaving whether the replica says that it leaves
 */
public record ResponseHead(Optional<String> requestId, Optional<String> signature, boolean notExecuted,
		Optional<NetworkAddress> faultAddress, Optional<String> instanceId, RequestLimit requestLimit,
		RetryAfter retryAfter, boolean leaving) {

	/**
	 * Returns whether the response carries the signature of a replica.
	 * @return false for a response that no replica has signed
	 */
	public boolean signed() {
		return this.signature.isPresent();
	}

}
