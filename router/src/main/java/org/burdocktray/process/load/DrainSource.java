package org.burdocktray.process.load;

/**
 * The source of an indication that an upstream is leaving. Marks of the two sources are
 * kept separately, because only the source that reported the upstream as leaving can
 * revoke this early. Thread safety: immutable.
 */
public enum DrainSource {

	/** The platform's list of VMs, which may be out of date. */
	PLATFORM,

	/** The upstream itself, by its load report or by a refusal. */
	UPSTREAM

}
