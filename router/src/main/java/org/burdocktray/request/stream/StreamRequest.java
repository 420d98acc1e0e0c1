package org.burdocktray.request.stream;

import org.burdocktray.model.DataCentre;

/**
 * A caller's request for a response of a model. Thread safety: immutable.
 *
 * @param streamId the id of the stream, unique in the fleet
 * @param model the name of the model
 * @param modelVersion the version of the model
 * @param priority the priority class of the organisation; 0 goes first
 * @param prompt the prompt
 * @param maxTokens the maximum number of tokens to generate
 * @param prefixFingerprint a digest of the prompt's prefix, for cache affinity; 0 if
 * there is none
 * @param localDataCentre the data centre of this VM
 * @param deadlineNanos when the complete response is due
 */
public record StreamRequest(String streamId, String model, String modelVersion, int priority, String prompt,
		int maxTokens, long prefixFingerprint, DataCentre localDataCentre, long deadlineNanos) {

}
