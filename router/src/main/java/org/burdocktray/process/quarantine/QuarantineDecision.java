package org.burdocktray.process.quarantine;

import java.util.Set;

/**
 * The decision whether a request may run. Thread safety: immutable.
 */
public sealed interface QuarantineDecision {

	/**
	 * Returns whether the request may run now.
	 * @return false if it must wait or is refused
	 */
	default boolean mayRun() {
		return true;
	}

	/**
	 * Returns the upstreams on which the request must not run if others are left.
	 * @return the names of the upstreams
	 */
	default Set<String> excludedUpstreams() {
		return Set.of();
	}

	/** The request is not suspected. */
	record Run() implements QuarantineDecision {

	}

	/**
	 * The request is a suspect. It may run once, without retries, on upstreams that do
	 * not run another suspect.
	 *
	 * @param excludedUpstreams the upstreams that run another suspect
	 */
	record RunAlone(Set<String> excludedUpstreams) implements QuarantineDecision {

		public RunAlone {
			excludedUpstreams = Set.copyOf(excludedUpstreams);
		}

	}

	/**
	 * The request is quarantined.
	 *
	 * @param untilNanos the time at which the quarantine ends
	 * @param culprit what is held responsible for the crashes
	 */
	record Refuse(long untilNanos, Culprit culprit) implements QuarantineDecision {

		@Override
		public boolean mayRun() {
			return false;
		}

	}

	/**
	 * What is held responsible for crashes.
	 */
	enum Culprit {

		/** The request as a whole. */
		REQUEST,

		/** A part of its prompt. */
		PROMPT_PART

	}

	/**
	 * The request is a suspect and another run of it is in progress, or it is not known
	 * yet whether upstreams have crashed under it.
	 *
	 * @param untilNanos the time after which that run should have ended or the crashes be
	 * known
	 */
	record Wait(long untilNanos) implements QuarantineDecision {

		@Override
		public boolean mayRun() {
			return false;
		}

	}

}
