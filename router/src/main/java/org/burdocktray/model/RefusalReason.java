package org.burdocktray.model;

/**
 * The reasons why a request gets an error response. Each reason has one HTTP status and
 * one stable problem type; docs/API.md lists them. Thread safety: immutable.
 */
public enum RefusalReason {

	/** The body or a header is malformed. */
	MALFORMED(400, "malformed"),

	/** The API key is missing or unknown. */
	UNAUTHENTICATED(401, "unauthenticated"),

	/** The organisation is not permitted to use this model or service. */
	FORBIDDEN(403, "forbidden"),

	/** The model, service or path does not exist. */
	NOT_FOUND(404, "not-found"),

	/** The route does not allow this HTTP method. */
	METHOD_NOT_ALLOWED(405, "method-not-allowed"),

	/** The caller did not send the whole request in time. */
	CALLER_TIMEOUT(408, "caller-timeout"),

	/** A request with the same idempotency key is still in progress. */
	KEY_IN_PROGRESS(409, "key-in-progress"),

	/** The outcome of an earlier request with the same idempotency key is unknown. */
	KEY_OUTCOME_UNKNOWN(409, "key-outcome-unknown"),

	/** The call with this idempotency key ran; its response is no longer stored. */
	KEY_ANSWER_DROPPED(409, "key-answer-dropped"),

	/** The body exceeds the maximum size in the bundle. */
	TOO_LARGE(413, "too-large"),

	/** The idempotency key was already used with a different body. */
	KEY_REUSED(422, "key-reused"),

	/** The route requires an idempotency key and the request has none. */
	KEY_REQUIRED(400, "key-required"),

	/** The request is quarantined because it crashed upstreams before. */
	QUARANTINED(422, "quarantined"),

	/** The organisation has exceeded its quota. */
	QUOTA_EXCEEDED(429, "quota-exceeded"),

	/** No capacity is expected to be free for this request before its deadline. */
	OVERLOADED(503, "overloaded"),

	/** The available upstreams do not form a complete path. */
	NO_ROUTE(503, "no-route"),

	/** The request needs the platform's store, which is unreachable. */
	PLATFORM_UNAVAILABLE(503, "platform-unavailable"),

	/** This VM is shutting down or has not loaded a bundle yet. */
	NOT_READY(503, "not-ready"),

	/** An upstream failed and no further attempt is allowed. */
	UPSTREAM_FAILED(502, "upstream-failed"),

	/** The deadline passed before the request was completed. */
	DEADLINE_EXCEEDED(504, "deadline-exceeded"),

	/** An internal error of the router. */
	INTERNAL(500, "internal");

	private static final int FIRST_SERVER_ERROR = 500;

	private final int httpStatus;

	private final String problemType;

	RefusalReason(int httpStatus, String problemType) {
		this.httpStatus = httpStatus;
		this.problemType = problemType;
	}

	/**
	 * Returns the status code of the HTTP response.
	 * @return a 4xx or 5xx status code
	 */
	public int httpStatus() {
		return this.httpStatus;
	}

	/**
	 * Returns whether the caller, not the system, is the cause of the error. Such errors
	 * do not count against availability.
	 * @return true for a 4xx status, quotas included
	 */
	public boolean isClientError() {
		return this.httpStatus < FIRST_SERVER_ERROR;
	}

	/**
	 * Returns the last path segment of the problem type URI.
	 * @return the stable name of the problem type
	 */
	public String problemType() {
		return this.problemType;
	}

}
