package org.burdocktray.process.order;

import java.io.IOException;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.burdocktray.connection.platform.StoreRevision;
import org.burdocktray.connection.platform.StoredObject;

/**
 * Lease that permits its holder to send orders to one replica group. Invariant: the
 * fencing number follows the version of the stored lease, which increases with each write
 * and across the leases of all groups, so an engine that moves to another group accepts
 * the orders of its new holder; it increases as well when the store returns from a copy
 * and gives out revision numbers again. Thread safety: immutable.
 *
 * @param holder the id of the holding process, unique across restarts
 * @param version the version of the stored lease
 * @param ttlMillis how long one write is valid, counted from before it was sent
 */
record OrderLease(String holder, StoreRevision version, long ttlMillis) {

	/** Prefix of the keys of the leases. */
	static final String KEY_PREFIX = "leases/orders/";

	/** The era of which fencing numbers are plain revision numbers. */
	private static final long FIRST_ERA = 1;

	/** More revisions than a store gives out in one era. */
	private static final int REVISION_BITS = 40;

	private static final ObjectMapper MAPPER = new ObjectMapper();

	/**
	 * Parses a stored lease.
	 * @param object the stored object
	 * @param defaultTtlMillis the time to live if the value does not contain one
	 * @return the lease, with an empty holder if the value cannot be parsed
	 */
	static OrderLease of(StoredObject object, long defaultTtlMillis) {
		JsonNode root = parse(object.value()).orElseGet(MAPPER::createObjectNode);
		return new OrderLease(root.path("holder").asText(""), object.version(),
				root.path("ttlMillis").asLong(defaultTtlMillis));
	}

	/**
	 * Returns the number that an order under this lease carries.
	 * @return the number, higher than that of each earlier lease
	 */
	long fencingNumber() {
		return (Math.max(0, this.version.era() - FIRST_ERA) << REVISION_BITS) + this.version.number();
	}

	/**
	 * Returns the value to store. The store assigns the fencing number.
	 * @param holder the holder
	 * @param ttlMillis the time to live
	 * @param renewal the sequence number of the holder's write, which makes each value
	 * different: a store may keep the version when a write does not change the value, and
	 * other VMs would not observe the renewal
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
