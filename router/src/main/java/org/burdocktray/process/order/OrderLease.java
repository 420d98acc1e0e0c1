package org.burdocktray.process.order;

import java.io.IOException;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.burdocktray.connection.platform.StoredObject;

/**
 * The lease on the orders of one replica group. Invariant: the fencing number is the
 * version of the stored lease, so it grows with each write, and over the leases of all
 * groups: an engine that moves to another group takes the orders of its new holder.
 * Thread safety: immutable.
 *
 * @param holder the id of one run of one VM
 * @param fencingNumber the version of the stored lease
 * @param ttlMillis how long the holder relies on one write, from before it was sent
 */
record OrderLease(String holder, long fencingNumber, long ttlMillis) {

	/** Where the leases are. */
	static final String KEY_PREFIX = "leases/orders/";

	private static final ObjectMapper MAPPER = new ObjectMapper();

	/**
	 * Reads a stored lease.
	 * @param object the object
	 * @param defaultTtlMillis the time to live when the value doesn't say it
	 * @return the lease; one without a known holder when the value can't be read
	 */
	static OrderLease of(StoredObject object, long defaultTtlMillis) {
		JsonNode root = parse(object.value()).orElseGet(MAPPER::createObjectNode);
		return new OrderLease(root.path("holder").asText(""), object.version(),
				root.path("ttlMillis").asLong(defaultTtlMillis));
	}

	/**
	 * Returns the value to store. The fencing number is given by the store.
	 * @param holder the holder
	 * @param ttlMillis the time to live
	 * @param renewal the number of the holder's write; a store may give no new version to
	 * a write that changes nothing, and then nobody would see the renewal
	 * @return the value
	 */
	static String toStoredValue(String holder, long ttlMillis, long renewal) {
		ObjectNode root = MAPPER.createObjectNode()
			.put("holder", holder)
			.put("ttlMillis", ttlMillis)
			.put("renewal", renewal);
		return root.toString();
	}

	private static Optional<JsonNode> parse(String value) {
		try {
			return Optional.of(MAPPER.readTree(value));
		}
		catch (IOException ex) {
			return Optional.empty();
		}
	}

}
