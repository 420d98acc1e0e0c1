package org.burdocktray.process.quarantine;

/**
 * What is known of a crash. The order is that of precedence when evidence is merged: the
 * later constant prevails, so that a dismissal is never revoked. Thread safety:
 * immutable.
 */
enum EvidenceState {

	/** The upstream is silent, and may go on. */
	PROVISIONAL,

	/** The upstream has crashed. */
	CONFIRMED,

	/**
	 * The upstream has not crashed, or the request has been cleared of its crash.
	 */
	DISMISSED

}
