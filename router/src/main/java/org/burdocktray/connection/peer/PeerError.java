package org.burdocktray.connection.peer;

/**
 * The reason why a request to another VM has no reply. Thread safety: immutable.
 */
public enum PeerError {

	/** The request was not written to a connection; the peer did not process it. */
	NOT_SENT,

	/**
	 * The request was written, but no reply was received; the peer may have processed it.
	 */
	UNRESOLVED

}
