package org.burdocktray.process.explain;

import java.util.Arrays;

/**
 * The causes with which a request ends, as its last line writes them, and what an
 * operator should know of each. Thread safety: immutable.
 */
enum EndCause {

	ANSWERED("answered by", "A replica answered; a status of 500 or more is the replica's own."),

	STREAM_ENDED("stream ended by",
			"The stream is whole; firstEventMillis and longestPauseMillis say whether it was on time."),

	NO_ROOM("no replica can take the request",
			"No replica of the service, or no whole path of engines, had room while the request could wait."),

	BUDGET("retry budget is spent",
			"An attempt failed, and this VM's share of the fleet's retries in the present window was used up."),

	TOO_OLD(EndCause.RULES_TOO_OLD,
			"The VM had no recent answer of the store, so a key might have been taken away without its knowledge."),

	STOPPING("VM is stopping", "The VM was told to stop, and the request came late or outlasted the grace period."),

	TIME_IS_UP("time is up", "The caller's deadline or the route's timeout passed before there was an answer."),

	CALLER_GONE("caller went away", "The caller closed its connection before there was a whole answer."),

	UNKNOWN_KEY("key is not known", "The rules in force hold no such key."),

	NO_ROUTE("no route", "The rules in force hold no route for that host and path."),

	NO_RULES("no rules yet", "The VM had just started and had not read the rules."),

	TOO_LARGE("body is larger", "The body is over the limit of the rules in force."),

	OTHER("", "The last attempt failed, and the request could not be sent again.");

	static final String RULES_TOO_OLD = "rules are too old to accept keys";

	private static final String BROKEN_OFF = "stream broken off: ";

	private final String beginning;

	private final String meaning;

	EndCause(String beginning, String meaning) {
		this.beginning = beginning;
		this.meaning = meaning;
	}

	/**
	 * Explains a cause.
	 * @param written the cause as it is written
	 * @return one or two sentences
	 */
	static String explain(String written) {
		boolean isBrokenOff = written.startsWith(BROKEN_OFF);
		String reason = isBrokenOff ? written.substring(BROKEN_OFF.length()) : written;
		EndCause cause = Arrays.stream(values())
			.filter((value) -> reason.startsWith(value.beginning))
			.findFirst()
			.orElse(OTHER);
		String prefix = isBrokenOff ? "The stream was broken off. " : "";
		return prefix + cause.meaning + " (" + reason + ")";
	}

}
