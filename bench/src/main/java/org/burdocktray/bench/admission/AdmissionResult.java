package org.burdocktray.bench.admission;

import java.util.Map;

/**
 * The statistics of one simulated scenario. Thread safety: immutable.
 *
 * @param goodputRatio the tokens of completed responses whose first token met the
 * deadline, divided by the tokens that the engines could have generated
 * @param queueingP95Millis the 95th percentile of the time from arrival to start, over
 * the requests that were started
 * @param refusedShare the proportion of requests that were refused
 * @param longestRefusalMillis the longest time from arrival to refusal
 * @param messagesPerVmPerSecond the mean number of slot loan messages per VM and second
 * @param servedShares for each organisation, the tokens of responses whose first token
 * met the deadline, divided by the tokens it requested
 */
record AdmissionResult(double goodputRatio, double queueingP95Millis, double refusedShare, double longestRefusalMillis,
		double messagesPerVmPerSecond, Map<String, Double> servedShares) {

	AdmissionResult {
		servedShares = Map.copyOf(servedShares);
	}

}
