package org.burdocktray.process.claim;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import io.vavr.control.Either;

/**
 * Encodes and decodes the value of a shard's object: {@code {"v":1,"e":{name:entry}}},
 * where each entry is a JSON array that starts with the letter of its state. Invariant: a
 * value with another format version or an unreadable entry is rejected as a whole, since
 * a partial result would lose claims. Thread safety: stateless.
 */
final class ClaimTableCodec {

	private static final int FORMAT_VERSION = 1;

	private static final String PREFIX = "{\"v\":" + FORMAT_VERSION + ",\"e\":{";

	private static final String SUFFIX = "}}";

	private static final String CLAIMED = "c";

	private static final String UNKNOWN = "u";

	private static final String DONE = "d";

	private static final String RELEASED = "n";

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private ClaimTableCodec() {
	}

	/**
	 * Returns the size of an encoded value without its entries.
	 * @return the length of prefix and suffix in bytes
	 */
	static int framingBytes() {
		return PREFIX.length() + SUFFIX.length();
	}

	/**
	 * Joins encoded entries into a value.
	 * @param entries the encoded entries, each with its name
	 * @return the value
	 */
	static String join(Iterable<String> entries) {
		return PREFIX + String.join(",", entries) + SUFFIX;
	}

	/**
	 * Encodes one entry with its name.
	 * @param name the name
	 * @param entry the entry
	 * @return the member of the JSON object
	 */
	static String encode(String name, ClaimEntry entry) {
		return "\"" + name + "\":" + toJson(toArray(entry));
	}

	/**
	 * Decodes a value.
	 * @param value the value
	 * @return the entries by name, or the reason why the value can't be decoded
	 */
	static Either<String, Map<String, ClaimEntry>> decode(String value) {
		try {
			JsonNode root = MAPPER.readTree(value);
			if (root.path("v").asInt() != FORMAT_VERSION) {
				return Either.left("unsupported format version " + root.path("v") + ", expected " + FORMAT_VERSION);
			}
			Map<String, ClaimEntry> entries = new LinkedHashMap<>();
			for (Map.Entry<String, JsonNode> member : root.path("e").properties()) {
				entries.put(member.getKey(), parseEntry(member.getValue()));
			}
			return Either.right(entries);
		}
		catch (IOException | IllegalArgumentException ex) {
			return Either.left("invalid shard value: " + ex.getMessage());
		}
	}

	private static String toJson(ArrayNode array) {
		try {
			return MAPPER.writeValueAsString(array);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("claim entry cannot be serialized as JSON", ex);
		}
	}

	private static ArrayNode toArray(ClaimEntry entry) {
		if (entry instanceof ClaimEntry.Claimed claimed) {
			return commonFields(CLAIMED, claimed).add(claimed.vm())
				.add(claimed.organisation())
				.add(claimed.idempotencyKey());
		}
		if (entry instanceof ClaimEntry.Unknown unknown) {
			return commonFields(UNKNOWN, unknown).add(unknown.vm())
				.add(unknown.organisation())
				.add(unknown.idempotencyKey());
		}
		if (entry instanceof ClaimEntry.Released) {
			return commonFields(RELEASED, entry);
		}
		ClaimEntry.Done done = (ClaimEntry.Done) entry;
		RecordedResponse response = done.response();
		return commonFields(DONE, done).add(response.httpStatus())
			.add(response.contentType())
			.add(response.body())
			.add(response.bodyKept());
	}

	private static ArrayNode commonFields(String state, ClaimEntry entry) {
		return MAPPER.createArrayNode()
			.add(state)
			.add(entry.claimId())
			.add(entry.digest())
			.add(entry.claimedAtSeconds());
	}

	private static ClaimEntry parseEntry(JsonNode array) {
		String claimId = array.required(1).textValue();
		String digest = array.required(2).textValue();
		long claimedAtSeconds = array.required(3).longValue();
		return switch (array.required(0).asText()) {
			case CLAIMED -> parseClaimed(array, claimId, digest, claimedAtSeconds);
			case UNKNOWN -> parseClaimed(array, claimId, digest, claimedAtSeconds).toUnknown();
			case DONE -> new ClaimEntry.Done(claimId, digest, claimedAtSeconds, parseResponse(array));
			case RELEASED -> new ClaimEntry.Released(claimId, claimedAtSeconds);
			default -> throw new IllegalArgumentException("unknown entry state " + array.get(0));
		};
	}

	private static ClaimEntry.Claimed parseClaimed(JsonNode array, String claimId, String digest,
			long claimedAtSeconds) {
		return new ClaimEntry.Claimed(claimId, digest, claimedAtSeconds, array.required(4).textValue(),
				array.required(5).textValue(), array.required(6).textValue());
	}

	private static RecordedResponse parseResponse(JsonNode array) {
		return new RecordedResponse(array.required(4).intValue(), array.required(5).textValue(),
				array.required(6).textValue(), array.required(7).booleanValue());
	}

}
