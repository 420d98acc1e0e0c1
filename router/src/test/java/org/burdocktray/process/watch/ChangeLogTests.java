package org.burdocktray.process.watch;

import java.util.List;

import org.burdocktray.connection.platform.ObjectChanges;
import org.burdocktray.connection.platform.ObjectChanges.ObjectChange;
import org.burdocktray.connection.platform.ObjectListing;
import org.burdocktray.connection.platform.StoredObject;
import org.burdocktray.process.freshness.RulesFreshness.Timestamp;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against watchers that pass on changes twice, leave them out, or call old content
 * young.
 */
class ChangeLogTests {

	private static final Timestamp START = new Timestamp(1_000_000_000L, 50_000);

	private final ChangeLog log = new ChangeLog(true, () -> START);

	@Test
	void listingAfterAnOutageBecomesChanges() {
		this.log.recordListing(new ObjectListing(List.of(object("a", 1), object("b", 2)), 2), START);
		this.log.recordFailure();
		this.log.recordListing(new ObjectListing(List.of(object("b", 5), object("c", 6)), 6), START);
		assertThat(this.log.hasChangesAfter(2)).isTrue();
		assertThat(this.log.changesAfter(2)).containsExactlyInAnyOrder(new ObjectChange(object("a", 1), true),
				new ObjectChange(object("b", 5), false), new ObjectChange(object("c", 6), false));
	}

	@Test
	void olderListingBringsNothingBack() {
		this.log.recordListing(new ObjectListing(List.of(object("a", 1)), 2), START);
		this.log.recordChanges(2, new ObjectChanges(List.of(new ObjectChange(object("a", 1), true)), 4), START);
		this.log.recordListing(new ObjectListing(List.of(object("a", 1)), 3), START);
		assertThat(this.log.objects()).isEmpty();
		assertThat(this.log.revision()).isEqualTo(4);
	}

	/** Guards against watchers that stay without a confirmation after a restore. */
	@Test
	void laterListingOfARestoredStoreReplacesTheLog() {
		this.log.recordListing(new ObjectListing(List.of(object("a", 1), object("b", 8)), 8), START);
		Timestamp later = new Timestamp(START.monotonicNanos() + 700_000_000L, START.epochMillis() + 700);
		this.log.recordListing(new ObjectListing(List.of(object("a", 1)), 3), later);
		assertThat(this.log.objects()).containsExactly(object("a", 1));
		assertThat(this.log.revision()).isEqualTo(3);
		assertThat(this.log.ageMillis(later)).isZero();
		assertThat(this.log.hasChangesAfter(2)).isFalse();
	}

	/**
	 * Guards against a listing that was overtaken by changes and is taken for that of a
	 * restored store.
	 */
	@Test
	void listingThatWasOvertakenIsNoRestore() {
		Timestamp listed = later(300);
		ChangeLog overtaking = new ChangeLog(true, () -> later(305));
		overtaking.recordChanges(4, new ObjectChanges(List.of(new ObjectChange(object("a", 5), false)), 5), START);
		overtaking.recordListing(new ObjectListing(List.of(object("a", 1), object("b", 2)), 4), listed);
		assertThat(overtaking.revision()).isEqualTo(5);
		assertThat(overtaking.isComplete()).isTrue();
		assertThat(overtaking.objects()).containsExactlyInAnyOrder(object("a", 5), object("b", 2));
		assertThat(overtaking.ageMillis(later(700))).isEqualTo(400);
	}

	/** Guards against objects that go back to a state before that of a listing. */
	@Test
	void changesBeforeTheStateOfAListedObjectAreNotPassedOn() {
		this.log.recordListing(new ObjectListing(List.of(object("a", 1), object("z", 6)), 4), START);
		this.log.recordChanges(4,
				new ObjectChanges(
						List.of(new ObjectChange(object("z", 5), false), new ObjectChange(object("a", 5), false)), 5),
				START);
		assertThat(this.log.objects()).containsExactlyInAnyOrder(object("a", 5), object("z", 6));
		assertThat(this.log.changesAfter(4)).containsExactly(new ObjectChange(object("a", 5), false));
	}

	private static Timestamp later(long millis) {
		return new Timestamp(START.monotonicNanos() + millis * 1_000_000, START.epochMillis() + millis);
	}

	/** Guards against objects of a listing that may be old. */
	@Test
	void laterListingThatMayBeOldBringsNothingBack() {
		ChangeLog hints = new ChangeLog(false, () -> START);
		hints.recordListing(new ObjectListing(List.of(object("b", 8)), 8), START);
		Timestamp later = new Timestamp(START.monotonicNanos() + 700_000_000L, START.epochMillis() + 700);
		hints.recordListing(new ObjectListing(List.of(object("a", 1)), 3), later);
		assertThat(hints.objects()).containsExactly(object("b", 8));
	}

	@Test
	void changesThatAreKnownAreNotRepeated() {
		this.log.recordListing(new ObjectListing(List.of(object("a", 6)), 6), START);
		this.log.recordChanges(4,
				new ObjectChanges(
						List.of(new ObjectChange(object("a", 5), false), new ObjectChange(object("a", 6), false)), 7),
				START);
		assertThat(this.log.objects()).containsExactly(object("a", 6));
		assertThat(this.log.hasChangesAfter(6)).isFalse();
		assertThat(this.log.hasChangesAfter(7)).isTrue();
	}

	@Test
	void changesOfAVmThatWasNoWatcherLeaveAGap() {
		this.log.recordListing(new ObjectListing(List.of(object("a", 1)), 2), START);
		this.log.recordChanges(8, new ObjectChanges(List.of(new ObjectChange(object("b", 9), false)), 9), START);
		assertThat(this.log.hasChangesAfter(2)).isFalse();
		assertThat(this.log.isComplete()).isFalse();
		assertThat(this.log.changesAfter(8)).containsExactly(new ObjectChange(object("b", 9), false));
	}

	@Test
	void historyIsBounded() {
		this.log.recordListing(new ObjectListing(List.of(), 0), START);
		for (int revision = 1; revision <= 10_000; revision++) {
			this.log.recordChanges(revision - 1,
					new ObjectChanges(List.of(new ObjectChange(object("a", revision), false)), revision), START);
		}
		assertThat(this.log.hasChangesAfter(5_000)).isFalse();
		assertThat(this.log.hasChangesAfter(9_000)).isTrue();
		assertThat(this.log.changesAfter(9_000)).containsExactly(new ObjectChange(object("a", 10_000), false));
	}

	@Test
	void ageIsThatOfTheClockThatShowsMore() {
		this.log.recordListing(new ObjectListing(List.of(), 1), START);
		Timestamp suspended = new Timestamp(START.monotonicNanos(), START.epochMillis() + 900);
		Timestamp movedBack = new Timestamp(START.monotonicNanos() + 700_000_000L, START.epochMillis() - 5_000);
		assertThat(this.log.ageMillis(suspended)).isEqualTo(900);
		assertThat(this.log.ageMillis(movedBack)).isEqualTo(700);
	}

	private static StoredObject object(String key, long version) {
		return new StoredObject(key, version, "{}");
	}

}
