package org.burdocktray.process.serve.gateway;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * What the header of a caller's request says. Thread safety: immutable.
 *
 * @param requestId the id that the caller gave the request
 * @param deadlineMillis how long the caller waits
 * @param key the key of the caller's organisation
 * @param promptTokens the length of the prompt
 * @param maxOutputTokens the longest answer
 * @param expectedOutputTokens the caller's estimate of the answer's length
 * @param lastEventId the event behind which a stream goes on
 */
public record RequestHead(Optional<String> requestId, OptionalLong deadlineMillis, Optional<String> key,
		OptionalInt promptTokens, OptionalInt maxOutputTokens, OptionalInt expectedOutputTokens,
		Optional<String> lastEventId) {

}
