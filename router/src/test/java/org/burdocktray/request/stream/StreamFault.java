package org.burdocktray.request.stream;

/**
 * The faults that are injected into a stream. Thread safety: immutable.
 */
enum StreamFault {

	NONE,

	STAGE_KILLED,

	STAGE_FROZEN,

	STAGE_RESTARTED,

	HEAD_KILLED,

	HEAD_FROZEN,

	STEPS_DUPLICATED_LATE,

	EVENTS_DUPLICATED_LATE,

	REFUSALS,

	CALLER_DISCONNECTED

}
