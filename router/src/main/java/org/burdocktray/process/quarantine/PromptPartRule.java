package org.burdocktray.process.quarantine;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Convicts a part of prompts after several independent crashes under different requests.
 * Some of the runs must have begun after an earlier crash: where several upstreams crash
 * at once for another reason, a part that many requests share is in many of the crashes.
 * A part with which answers have begun well shortly before needs one crash more of each
 * kind.
 */
final class PromptPartRule implements ConvictionRule {

	private static final int CRASHES = 3;

	private static final int CRASHES_IN_SEQUENCE = 2;

	private static final int REQUESTS = 2;

	@Override
	public int minCrashes() {
		return CRASHES;
	}

	@Override
	public boolean isConvicting(Collection<CrashEvidence> crashes) {
		if (crashes.size() < CRASHES) {
			return false;
		}
		int more = crashes.stream().anyMatch((crash) -> crash.run().begunWellBefore()) ? 1 : 0;
		return CrashEvidence.independent(crashes).size() >= CRASHES + more
				&& crashesInSequence(crashes) >= CRASHES_IN_SEQUENCE + more && requests(crashes) >= REQUESTS;
	}

	private static int crashesInSequence(Collection<CrashEvidence> crashes) {
		List<CrashEvidence> ordered = crashes.stream()
			.sorted(Comparator.comparingLong(CrashEvidence::crashedAtNanos))
			.toList();
		int count = 0;
		CrashEvidence last = null;
		for (CrashEvidence crash : ordered) {
			if (last == null || (crash.beganAfter(last) && crash.isIndependentOf(last))) {
				last = crash;
				count++;
			}
		}
		return count;
	}

	private static long requests(Collection<CrashEvidence> crashes) {
		return crashes.stream().map((crash) -> crash.run().request()).distinct().count();
	}

}
