package org.burdocktray.process.explain;

import java.util.Arrays;

/**
 * The causes with which a request ends, as its last line writes them, and what an
 * operator should know of each. Thread safety: immutable.
 */
enum EndCause {

	RESPONDED("answered by", "A replica answered; a status of 500 or more is the replica's own."),

	STREAM_ENDED("stream ended by",
			"The stream is whole; firstEventMillis and longestPauseMillis say whether it was on time."),

	NO_CAPACITY("no replica can take the request",
			"No replica of the service, or no whole path of engines, had room while the request could wait."),

	RETRY_BUDGET_SPENT("retry budget is spent",
			"An attempt failed, and this VM's share of the fleet's retries in the present window was used up."),

	RULES_STALE(EndCause.RULES_STALE_PREFIX,
			"The VM had no recent answer of the store, so a key might have been taken away without its knowledge."),

	STOPPING("VM is stopping", "The VM was told to stop, and the request came late or outlasted the grace period."),

	TIMED_OUT("time is up", "The caller's deadline or the route's timeout passed before there was an answer."),

	CALLER_DISCONNECTED("caller went away", "The caller closed its connection before there was a whole answer."),

	UNKNOWN_KEY("key is not known", "The rules in force hold no such key."),

	NO_ROUTE("no route", "The rules in force hold no route for that host and path."),

	NO_RULES("no rules yet", "The VM had just started and had not read the rules."),

	TOO_LARGE("body is larger", "The body is over the limit of the rules in force."),

	OTHER("", "The last attempt failed, and the request could not be sent again.");

	static final String RULES_STALE_PREFIX = "rules are too old to accept keys";

	private static final String STREAM_ABORTED_PREFIX = "stream broken off: ";

	private final String prefix;

	private final String explanation;

	EndCause(String beginning, String meaning) {
		this.prefix = beginning;
		this.explanation = meaning;
	}

	/**
	 * Explains a cause.
	 * @param written the cause as it is written
	 * @return one or two sentences
	 */
	static String explain(String written) {
		boolean isBrokenOff = written.startsWith(STREAM_ABORTED_PREFIX);
		String reason = isBrokenOff ? written.substring(STREAM_ABORTED_PREFIX.length()) : written;
		EndCause cause = Arrays.stream(values())
			.filter((value) -> reason.startsWith(value.prefix))
			.findFirst()
			.orElse(OTHER);
		String prefix = isBrokenOff ? "The stream was broken off. " : "";
		return prefix + cause.explanation + " (" + reason + ")";
	}

}
