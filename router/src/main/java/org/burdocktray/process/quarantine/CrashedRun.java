package org.burdocktray.process.quarantine;

/**
 * What is known of the run under which an upstream crashed. Thread safety: immutable.
 *
 * @param request the beginning of the digest of the request, empty if it is unknown
 * @param ageNanos how long before the crash the run began
 * @param begunWellBefore whether the reporting VM knew of an answer with the same part
 * that had begun well shortly before
 */
record CrashedRun(String request, long ageNanos, boolean begunWellBefore) {

	static final CrashedRun UNKNOWN = new CrashedRun("", 0, false);

}
