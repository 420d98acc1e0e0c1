package org.burdocktray.bench.admission;

import java.util.Map;

/**
 * What a simulated case gave. Thread safety: immutable.
 *
 * @param goodputRatio the tokens of answers begun in time, over the bound
 * @param queueingP95Millis the 95th percentile of the wait of answers that were begun
 * @param refusedShare the share of requests refused
 * @param longestRefusalMillis the longest time until a refusal was given
 * @param messagesPerVmPerSecond the messages about places that each VM sent in a second
 * @param servedShares each organisation's tokens of answers begun in time, over what it
 * asked for
 */
record AdmissionResult(double goodputRatio, double queueingP95Millis, double refusedShare, double longestRefusalMillis,
		double messagesPerVmPerSecond, Map<String, Double> servedShares) {

	AdmissionResult {
		servedShares = Map.copyOf(servedShares);
	}

}
