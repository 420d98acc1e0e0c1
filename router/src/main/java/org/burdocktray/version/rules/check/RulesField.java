package org.burdocktray.version.rules.check;

/**
 * A field of the rules that a finding refers to. Only the platform knows what it is
 * called in files. Thread safety: immutable.
 */
public enum RulesField {

	/** The version of the rules. */
	VERSION,

	/** The name of a route, service or organisation. */
	NAME,

	/** The host of a route. */
	HOST,

	/** The prefix of the path of a route. */
	PATH_PREFIX,

	/** The services of a route with their weights. */
	TARGETS,

	/** The time limit of a route. */
	TIMEOUT,

	/** The target for the first event of a route. */
	TARGET_LATENCY,

	/** The target for the time between events of a route. */
	TARGET_EVENT_GAP,

	/** The maximum number of attempts of a route. */
	MAX_ATTEMPTS,

	/** The priority of a route or organisation. */
	PRIORITY,

	/** The keys of an organisation. */
	KEYS,

	/** The maximum size of a body. */
	MAX_BODY_BYTES

}
