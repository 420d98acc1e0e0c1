package org.burdocktray.process.quarantine;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * When this VM first knew that an upstream is silent or has crashed. What begins to run
 * there afterwards has not crashed it. Invariant: the number of upstreams is limited.
 * Thread safety: none.
 */
final class LostUpstreams {

	private static final int MAX_UPSTREAMS = 1_000;

	// An upstream with the same name may be there again.
	private static final long MEMORY_NANOS = TimeUnit.SECONDS.toNanos(10);

	private final Map<String, Long> firstLossNanos = new LinkedHashMap<>();

	/**
	 * Records a loss.
	 * @param upstream the upstream
	 * @param nowNanos the time
	 * @return when it was first known
	 */
	long recordLoss(String upstream, long nowNanos) {
		Long knownNanos = this.firstLossNanos.get(upstream);
		if (knownNanos != null && nowNanos - knownNanos < MEMORY_NANOS) {
			return knownNanos;
		}
		this.firstLossNanos.remove(upstream);
		this.firstLossNanos.put(upstream, nowNanos);
		if (this.firstLossNanos.size() > MAX_UPSTREAMS) {
			this.firstLossNanos.remove(this.firstLossNanos.keySet().iterator().next());
		}
		return nowNanos;
	}

	void recordResponse(String upstream) {
		this.firstLossNanos.remove(upstream);
	}

}
