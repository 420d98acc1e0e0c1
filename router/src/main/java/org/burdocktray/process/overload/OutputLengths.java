package org.burdocktray.process.overload;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns by route how long responses are compared with their callers' estimates, which
 * are right at the median only. Invariants: the number of routes and the counts are
 * bounded; older responses count less. Thread safety: none, confined to one event loop.
 */
public final class OutputLengths {

	private static final int MAX_ROUTES = 256;

	/** Ratios are counted in steps of a quarter of a doubling, from 1/8 to 8. */
	private static final int BUCKETS_PER_DOUBLING = 4;

	private static final int MAX_DOUBLINGS = 3;

	private static final int BUCKET_COUNT = 2 * MAX_DOUBLINGS * BUCKETS_PER_DOUBLING + 1;

	/** All counts are halved when their sum reaches this. */
	private static final double MAX_COUNT = 512;

	/** Fewer responses say too little about a quantile. */
	private static final double MIN_COUNT = 20;

	private final Map<String, double[]> countsByRoute = new HashMap<>();

	/**
	 * Records a complete response.
	 * @param route the name of the route
	 * @param estimatedTokens the caller's estimate of its length
	 * @param realTokens its length
	 */
	public void record(String route, int estimatedTokens, int realTokens) {
		if (estimatedTokens <= 0 || realTokens <= 0) {
			return;
		}
		double[] counts = this.countsByRoute.get(route);
		if (counts == null) {
			if (this.countsByRoute.size() >= MAX_ROUTES) {
				return;
			}
			counts = new double[BUCKET_COUNT];
			this.countsByRoute.put(route, counts);
		}
		double doublings = Math.log((double) realTokens / estimatedTokens) / Math.log(2);
		int bucket = (int) Math.round(BUCKETS_PER_DOUBLING * (doublings + MAX_DOUBLINGS));
		counts[Math.max(0, Math.min(BUCKET_COUNT - 1, bucket))]++;
		if (sum(counts) >= MAX_COUNT) {
			for (int index = 0; index < BUCKET_COUNT; index++) {
				counts[index] /= 2;
			}
		}
	}

	/**
	 * Returns a quantile of the ratio of real to estimated length.
	 * @param route the name of the route
	 * @param quantile the quantile, 0 to 1
	 * @return the ratio, 1 while too few responses are known
	 */
	public double ratio(String route, double quantile) {
		double[] counts = this.countsByRoute.get(route);
		if (counts == null || sum(counts) < MIN_COUNT) {
			return 1;
		}
		double remaining = quantile * sum(counts);
		int bucket = 0;
		while (bucket < BUCKET_COUNT - 1 && remaining > counts[bucket]) {
			remaining -= counts[bucket];
			bucket++;
		}
		return Math.pow(2, (double) bucket / BUCKETS_PER_DOUBLING - MAX_DOUBLINGS);
	}

	private static double sum(double[] counts) {
		double sum = 0;
		for (double count : counts) {
			sum += count;
		}
		return sum;
	}

}
