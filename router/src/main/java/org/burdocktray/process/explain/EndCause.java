package org.burdocktray.process.explain;

import java.util.Arrays;

/**
 * A cause of the end of a request, recognized by its prefix in the final log line of the
 * request, with an explanation for operators. Thread safety: immutable.
 */
enum EndCause {

	RESPONDED("answered by", "A replica responded; a status of 500 or more comes from the replica."),

	STREAM_ENDED("stream ended by",
			"The stream is complete; firstEventMillis and longestPauseMillis show whether it was on time."),

	NO_CAPACITY("no replica can take the request",
			"No replica of the service, or no complete path of engines, had free capacity while the request could wait."),

	SHED("load is shed",
			"The demand of the fleet exceeded what it serves in time, and requests of this priority were admitted by a share only."),

	LIMITED("replicas take no more requests now",
			"Each replica that could take the request names a limit, of which this VM's share was used up for now."),

	QUARANTINED("request is quarantined",
			"Replicas crashed under two runs of a request with this path, organisation and body, so it is not sent again."),

	PART_QUARANTINED("a part of the prompt is quarantined",
			"Replicas crashed under several requests that share a part of their prompts, so no request with that part is sent."),

	OTHER_RUN("another run of the request is in progress",
			"A replica crashed under a request with this path, organisation and body, and its next run had not ended."),

	RETRY_BUDGET_SPENT("retry budget is spent",
			"An attempt failed, and this VM's share of the fleet's retry budget for the current window was used up."),

	RULES_STALE(EndCause.RULES_STALE_PREFIX,
			"The VM had no recent response from the store, so a key might have been revoked in the meantime."),

	STOPPING("VM is stopping",
			"The VM was shutting down, and the request arrived too late or exceeded the grace period."),

	TIMED_OUT("time is up", "The caller's deadline or the route's timeout passed before there was a response."),

	CALLER_DISCONNECTED("caller went away", "The caller closed its connection before the response was complete."),

	UNKNOWN_KEY("key is not known", "The rules in force contain no such key."),

	NO_ROUTE("no route", "The rules in force contain no route for that host and path."),

	NO_RULES("no rules yet", "The VM had started recently and had not yet read the rules."),

	TOO_LARGE("body is larger", "The body exceeds the limit in the rules in force."),

	OTHER("", "The last attempt failed, and the request could not be sent again.");

	static final String RULES_STALE_PREFIX = "rules are too old to accept keys";

	private static final String STREAM_ABORTED_PREFIX = "stream broken off: ";

	private final String prefix;

	private final String explanation;

	EndCause(String prefix, String explanation) {
		this.prefix = prefix;
		this.explanation = explanation;
	}

	/**
	 * Explains the cause in a final log line.
	 * @param loggedCause the value of the field {@code cause}
	 * @return an explanation of one or two sentences, followed by the logged cause
	 */
	static String explain(String loggedCause) {
		boolean isStreamAborted = loggedCause.startsWith(STREAM_ABORTED_PREFIX);
		String reason = isStreamAborted ? loggedCause.substring(STREAM_ABORTED_PREFIX.length()) : loggedCause;
		EndCause cause = Arrays.stream(values())
			.filter((value) -> reason.startsWith(value.prefix))
			.findFirst()
			.orElse(OTHER);
		String introduction = isStreamAborted ? "The stream was aborted. " : "";
		return introduction + cause.explanation + " (" + reason + ")";
	}

}
