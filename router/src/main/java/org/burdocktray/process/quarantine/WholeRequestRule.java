package org.burdocktray.process.quarantine;

import java.util.Collection;

/**
 * Convicts a request after two crashes that are independent of each other.
 */
final class WholeRequestRule implements ConvictionRule {

	static final int CRASHES = 2;

	@Override
	public int minCrashes() {
		return CRASHES;
	}

	@Override
	public boolean isConvicting(Collection<CrashEvidence> crashes) {
		return CrashEvidence.independent(crashes).size() >= CRASHES;
	}

}
