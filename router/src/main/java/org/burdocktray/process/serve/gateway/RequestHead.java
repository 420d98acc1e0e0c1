package org.burdocktray.process.serve.gateway;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * The header fields of a caller's request that the gateway uses. Thread safety:
 * immutable.
 *
 * @param requestId the id that the caller gave the request
 * @param deadlineMillis how long the caller waits for the response
 * @param key the key of the caller's organisation
 * @param promptTokens the length of the prompt in tokens
 * @param maxOutputTokens the maximum length of the output in tokens
 * @param expectedOutputTokens the caller's estimate of the length of the output in tokens
 * @param lastEventId the id of the event after which a resumed stream continues
 * @param promptParts the ids of the parts of the prompt in order; all but the last one
 * may be shared with other requests
 */
public record RequestHead(Optional<String> requestId, OptionalLong deadlineMillis, Optional<String> key,
		OptionalInt promptTokens, OptionalInt maxOutputTokens, OptionalInt expectedOutputTokens,
		Optional<String> lastEventId, List<String> promptParts) {

	public RequestHead {
		promptParts = List.copyOf(promptParts);
	}

}
