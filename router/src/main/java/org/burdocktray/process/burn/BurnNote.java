package org.burdocktray.process.burn;

/**
 * A note on the data behind a report. Thread safety: immutable.
 *
 * @param kind the kind of note
 * @param subject the VM, file or objective that the note refers to
 * @param detail an explanation in one line
 */
public record BurnNote(Kind kind, String subject, String detail) {

	/** The kind of a note. */
	public enum Kind {

		/** A VM was not scraped at all, or not during part of the time. */
		VM_MISSING,

		/** A VM started after the first scrape of the fleet. */
		VM_APPEARED,

		/** The counters of a VM restarted from 0. */
		VM_RESTARTED,

		/** A scrape was ignored. */
		SCRAPE_LEFT_OUT,

		/** Events were counted for an objective that the bundle does not define. */
		OBJECTIVE_UNKNOWN,

		/** No scrape has a counter for an objective of the bundle. */
		OBJECTIVE_WITHOUT_EVENTS,

		/**
		 * A VM ran with another bundle version than the one that defines the objectives.
		 */
		BUNDLE_DIFFERS

	}

}
