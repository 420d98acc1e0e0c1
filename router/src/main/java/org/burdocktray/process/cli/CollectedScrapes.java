package org.burdocktray.process.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import org.burdocktray.process.burn.BurnNote;
import org.burdocktray.process.burn.Scrape;

/**
 * Collects scrapes, and notes on failed or unusable ones. Thread safety: confined to one
 * thread.
 */
final class CollectedScrapes {

	private final List<Scrape> scrapes = new ArrayList<>();

	private final List<BurnNote> notes = new ArrayList<>();

	private OptionalLong lastAttemptMillis = OptionalLong.empty();

	void add(Scrape scrape) {
		this.scrapes.add(scrape);
	}

	void addNote(BurnNote.Kind kind, String subject, String detail) {
		this.notes.add(new BurnNote(kind, subject, detail));
	}

	void recordAttempt(long timeMillis) {
		this.lastAttemptMillis = OptionalLong.of(timeMillis);
	}

	List<Scrape> scrapes() {
		return List.copyOf(this.scrapes);
	}

	List<BurnNote> notes() {
		return List.copyOf(this.notes);
	}

	/**
	 * Returns the end of the windows: the time of the last scrape attempt, even if it
	 * failed, or of the newest scrape if that is later.
	 * @return the time, in milliseconds since 1970
	 */
	long asOfMillis() {
		long newest = this.scrapes.stream().mapToLong(Scrape::timeMillis).max().orElse(0);
		return Math.max(newest, this.lastAttemptMillis.orElse(0));
	}

}
