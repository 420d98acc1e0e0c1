package org.burdocktray.process.demand;

/**
 * The rates at which requests of one class arrive. Invariant: all rates are finite and 0
 * or more. Thread safety: immutable.
 *
 * @param requestsPerSecond the arriving requests, including those that are rejected
 * @param promptTokensPerSecond the prompt tokens of these requests
 * @param outputTokensPerSecond the expected output tokens of these requests
 * @param rejectedPerSecond the rejected requests
 * @param onTimePerSecond the admitted requests whose first event came within the target
 * @param latePerSecond the admitted requests that came late, or found no capacity
 * @param begunPerSecond the first events of admitted requests, also late ones
 */
public record ClassLoad(double requestsPerSecond, double promptTokensPerSecond, double outputTokensPerSecond,
		double rejectedPerSecond, double onTimePerSecond, double latePerSecond, double begunPerSecond) {

	/** No requests. */
	public static final ClassLoad NONE = new ClassLoad(0, 0, 0, 0);

	public ClassLoad {
		requestsPerSecond = bounded(requestsPerSecond);
		promptTokensPerSecond = bounded(promptTokensPerSecond);
		outputTokensPerSecond = bounded(outputTokensPerSecond);
		rejectedPerSecond = bounded(rejectedPerSecond);
		onTimePerSecond = bounded(onTimePerSecond);
		latePerSecond = bounded(latePerSecond);
		begunPerSecond = bounded(begunPerSecond);
	}

	/**
	 * Creates the rates of requests of which none has ended.
	 * @param requestsPerSecond the arriving requests
	 * @param promptTokensPerSecond the prompt tokens of these requests
	 * @param outputTokensPerSecond the expected output tokens of these requests
	 * @param rejectedPerSecond the rejected requests
	 */
	public ClassLoad(double requestsPerSecond, double promptTokensPerSecond, double outputTokensPerSecond,
			double rejectedPerSecond) {
		this(requestsPerSecond, promptTokensPerSecond, outputTokensPerSecond, rejectedPerSecond, 0, 0, 0);
	}

	/**
	 * Adds the rates of other requests.
	 * @param other the other rates
	 * @return the sums
	 */
	public ClassLoad plus(ClassLoad other) {
		return new ClassLoad(this.requestsPerSecond + other.requestsPerSecond,
				this.promptTokensPerSecond + other.promptTokensPerSecond,
				this.outputTokensPerSecond + other.outputTokensPerSecond,
				this.rejectedPerSecond + other.rejectedPerSecond, this.onTimePerSecond + other.onTimePerSecond,
				this.latePerSecond + other.latePerSecond, this.begunPerSecond + other.begunPerSecond);
	}

	/**
	 * Multiplies the rates.
	 * @param factor the factor, 0 or more
	 * @return the products
	 */
	public ClassLoad times(double factor) {
		return new ClassLoad(factor * this.requestsPerSecond, factor * this.promptTokensPerSecond,
				factor * this.outputTokensPerSecond, factor * this.rejectedPerSecond, factor * this.onTimePerSecond,
				factor * this.latePerSecond, factor * this.begunPerSecond);
	}

	/**
	 * Limits the rates to those that one VM can have, so that a wrong report moves the
	 * sum by no more.
	 * @param maxRequestsPerSecond the maximum of the rates of requests
	 * @param maxTokensPerSecond the maximum of the rates of tokens
	 * @return the limited rates
	 */
	ClassLoad limitedTo(double maxRequestsPerSecond, double maxTokensPerSecond) {
		return new ClassLoad(Math.min(maxRequestsPerSecond, this.requestsPerSecond),
				Math.min(maxTokensPerSecond, this.promptTokensPerSecond),
				Math.min(maxTokensPerSecond, this.outputTokensPerSecond),
				Math.min(maxRequestsPerSecond, this.rejectedPerSecond),
				Math.min(maxRequestsPerSecond, this.onTimePerSecond),
				Math.min(maxRequestsPerSecond, this.latePerSecond),
				Math.min(maxRequestsPerSecond, this.begunPerSecond));
	}

	private static double bounded(double rate) {
		return Double.isFinite(rate) ? Math.max(0, rate) : 0;
	}

}
