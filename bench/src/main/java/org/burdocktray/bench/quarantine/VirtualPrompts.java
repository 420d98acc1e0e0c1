package org.burdocktray.bench.quarantine;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Draws the parts of prompts: one that is shared by many requests, one that belongs to a
 * session of a few, and one of the request alone. Thread safety: none.
 */
final class VirtualPrompts {

	private static final int COMMON_PARTS = 60;

	/** A session has about this number of requests. */
	private static final int REQUESTS_PER_SESSION = 5;

	/** The number of sessions in progress at the same time. */
	private static final int OPEN_SESSIONS = 100;

	private final SplittableRandom random;

	private int requests;

	VirtualPrompts(long seed) {
		this.random = new SplittableRandom(~seed);
	}

	List<String> drawSound() {
		this.requests++;
		List<String> parts = new ArrayList<>();
		parts.add("common-" + drawCommon());
		int firstSession = this.requests / REQUESTS_PER_SESSION;
		parts.add("session-" + (firstSession + this.random.nextInt(OPEN_SESSIONS)));
		parts.add("own-" + this.requests);
		return parts;
	}

	List<String> drawWith(String crashingPart) {
		List<String> parts = drawSound();
		parts.add(this.random.nextInt(parts.size()), crashingPart);
		return parts;
	}

	// Some are drawn much more often than others.
	private int drawCommon() {
		double uniform = this.random.nextDouble();
		return (int) (COMMON_PARTS * uniform * uniform);
	}

}
