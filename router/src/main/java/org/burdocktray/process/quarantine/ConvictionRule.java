package org.burdocktray.process.quarantine;

import java.util.Collection;

/**
 * Decides how many crashes it takes to hold something responsible for them. Thread
 * safety: implementations are stateless.
 */
interface ConvictionRule {

	/**
	 * Returns whether crashes suffice, if nothing else explains them.
	 * @param crashes the crashes
	 * @return true if they are no coincidence
	 */
	boolean isConvicting(Collection<CrashEvidence> crashes);

	/**
	 * Returns the number of crashes below which none suffice.
	 * @return the number
	 */
	int minCrashes();

	/**
	 * Returns the rule for what a fingerprint identifies.
	 * @param fingerprint the fingerprint
	 * @return the rule
	 */
	static ConvictionRule of(Fingerprint fingerprint) {
		return fingerprint.isPart() ? new PromptPartRule() : new WholeRequestRule();
	}

}
