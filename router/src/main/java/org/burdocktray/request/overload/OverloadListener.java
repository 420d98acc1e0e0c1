package org.burdocktray.request.overload;

import org.burdocktray.process.overload.AdmissionThreshold;

/**
 * Receives the decisions on load, for metrics and logs. Thread safety: implementations
 * are called on one event loop.
 */
public interface OverloadListener {

	/**
	 * Handles a change of what is admitted: another priority is the first of which
	 * requests are rejected, or none is any more.
	 * @param service the service
	 * @param threshold its threshold after the change
	 */
	void onThresholdChange(String service, AdmissionThreshold threshold);

	/**
	 * Handles a regular update.
	 * @param service the service
	 * @param threshold its threshold
	 * @param availableShare the share of the estimated capacity that no demand needs, 0
	 * or more
	 */
	void onUpdate(String service, AdmissionThreshold threshold, double availableShare);

	/**
	 * Handles a rejection.
	 * @param arrival the request
	 * @param rank the number of more urgent priorities of its service
	 * @param hasWaited whether it has waited for capacity
	 */
	void onRejection(Arrival arrival, int rank, boolean hasWaited);

	/**
	 * Handles a first event whose time was estimated.
	 * @param ratio the real time divided by the estimated one
	 */
	void onEstimateChecked(double ratio);

}
