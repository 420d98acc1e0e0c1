package org.burdocktray.request.admission;

/**
 * An admission slot held by one request. Thread safety: implementations can be used from
 * any thread; calls of {@link #release} after the first have no effect.
 */
@FunctionalInterface
public interface AdmissionPermit {

	/**
	 * Releases the slot.
	 * @param generatedTokens the number of tokens that were generated, which settles the
	 * quota
	 */
	void release(int generatedTokens);

}
