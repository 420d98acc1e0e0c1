package org.burdocktray.process.watch;

import java.util.List;

import org.burdocktray.connection.platform.ObjectChanges;
import org.burdocktray.connection.platform.ObjectChanges.ObjectChange;
import org.burdocktray.connection.platform.ObjectListing;
import org.burdocktray.connection.platform.StoreRevision;
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
		this.log.recordListing(listing(List.of(object("a", 1), object("b", 2)), 2), START);
		this.log.recordFailure();
		this.log.recordListing(listing(List.of(object("b", 5), object("c", 6)), 6), START);
		assertThat(this.log.hasChangesAfter(StoreRevision.of(2))).isTrue();
		assertThat(this.log.changesAfter(StoreRevision.of(2))).containsExactlyInAnyOrder(
				new ObjectChange(object("a", 1), true), new ObjectChange(object("b", 5), false),
				new ObjectChange(object("c", 6), false));
	}

	@Test
	void olderListingBringsNothingBack() {
		this.log.recordListing(listing(List.of(object("a", 1)), 2), START);
		this.log.recordChanges(StoreRevision.of(2), changes(List.of(new ObjectChange(object("a", 1), true)), 4), START);
		this.log.recordListing(listing(List.of(object("a", 1)), 3), START);
		assertThat(this.log.objects()).isEmpty();
		assertThat(this.log.revision()).isEqualTo(StoreRevision.of(4));
	}

	/** Guards against watchers that stay without a confirmation after a restore. */
	@Test
	void laterListingOfARestoredStoreReplacesTheLog() {
		this.log.recordListing(listing(List.of(object("a", 1), object("b", 8)), 8), START);
		Timestamp later = new Timestamp(START.monotonicNanos() + 700_000_000L, START.epochMillis() + 700);
		this.log.recordListing(listing(List.of(object("a", 1)), 3), later);
		assertThat(this.log.objects()).containsExactly(object("a", 1));
		assertThat(this.log.revision()).isEqualTo(StoreRevision.of(3));
		assertThat(this.log.ageMillis(later)).isZero();
		assertThat(this.log.hasChangesAfter(StoreRevision.of(2))).isFalse();
	}

	/**
	 * Guards against a listing that was overtaken by changes and is taken for that of a
	 * restored store.
	 */
	@Test
	void listingThatWasOvertakenIsNoRestore() {
		Timestamp listed = later(300);
		ChangeLog overtaking = new ChangeLog(true, () -> later(305));
		overtaking.recordChanges(StoreRevision.of(4), changes(List.of(new ObjectChange(object("a", 5), false)), 5),
				START);
		overtaking.recordListing(listing(List.of(object("a", 1), object("b", 2)), 4), listed);
		assertThat(overtaking.revision()).isEqualTo(StoreRevision.of(5));
		assertThat(overtaking.isComplete()).isTrue();
		assertThat(overtaking.objects()).containsExactlyInAnyOrder(object("a", 5), object("b", 2));
		assertThat(overtaking.ageMillis(later(700))).isEqualTo(400);
	}

	/** Guards against objects that go back to a state before that of a listing. */
	@Test
	void changesBeforeTheStateOfAListedObjectAreNotPassedOn() {
		this.log.recordListing(listing(List.of(object("a", 1), object("z", 6)), 4), START);
		this.log.recordChanges(StoreRevision.of(4),
				changes(List.of(new ObjectChange(object("z", 5), false), new ObjectChange(object("a", 5), false)), 5),
				START);
		assertThat(this.log.objects()).containsExactlyInAnyOrder(object("a", 5), object("z", 6));
		assertThat(this.log.changesAfter(StoreRevision.of(4))).containsExactly(new ObjectChange(object("a", 5), false));
	}

	private static Timestamp later(long millis) {
		return new Timestamp(START.monotonicNanos() + millis * 1_000_000, START.epochMillis() + millis);
	}

	/** Guards against objects of a listing that may be old. */
	@Test
	void laterListingThatMayBeOldBringsNothingBack() {
		ChangeLog hints = new ChangeLog(false, () -> START);
		hints.recordListing(listing(List.of(object("b", 8)), 8), START);
		Timestamp later = new Timestamp(START.monotonicNanos() + 700_000_000L, START.epochMillis() + 700);
		hints.recordListing(listing(List.of(object("a", 1)), 3), later);
		assertThat(hints.objects()).containsExactly(object("b", 8));
	}

	@Test
	void changesThatAreKnownAreNotRepeated() {
		this.log.recordListing(listing(List.of(object("a", 6)), 6), START);
		this.log.recordChanges(StoreRevision.of(4),
				changes(List.of(new ObjectChange(object("a", 5), false), new ObjectChange(object("a", 6), false)), 7),
				START);
		assertThat(this.log.objects()).containsExactly(object("a", 6));
		assertThat(this.log.hasChangesAfter(StoreRevision.of(6))).isFalse();
		assertThat(this.log.hasChangesAfter(StoreRevision.of(7))).isTrue();
	}

	@Test
	void changesOfAVmThatWasNoWatcherLeaveAGap() {
		this.log.recordListing(listing(List.of(object("a", 1)), 2), START);
		this.log.recordChanges(StoreRevision.of(8), changes(List.of(new ObjectChange(object("b", 9), false)), 9),
				START);
		assertThat(this.log.hasChangesAfter(StoreRevision.of(2))).isFalse();
		assertThat(this.log.isComplete()).isFalse();
		assertThat(this.log.changesAfter(StoreRevision.of(8))).containsExactly(new ObjectChange(object("b", 9), false));
	}

	@Test
	void historyIsBounded() {
		this.log.recordListing(listing(List.of(), 0), START);
		for (int revision = 1; revision <= 10_000; revision++) {
			this.log.recordChanges(StoreRevision.of(revision - 1),
					changes(List.of(new ObjectChange(object("a", revision), false)), revision), START);
		}
		assertThat(this.log.hasChangesAfter(StoreRevision.of(5_000))).isFalse();
		assertThat(this.log.hasChangesAfter(StoreRevision.of(9_000))).isTrue();
		assertThat(this.log.changesAfter(StoreRevision.of(9_000)))
			.containsExactly(new ObjectChange(object("a", 10_000), false));
	}

	@Test
	void ageIsThatOfTheClockThatShowsMore() {
		this.log.recordListing(listing(List.of(), 1), START);
		Timestamp suspended = new Timestamp(START.monotonicNanos(), START.epochMillis() + 900);
		Timestamp movedBack = new Timestamp(START.monotonicNanos() + 700_000_000L, START.epochMillis() - 5_000);
		assertThat(this.log.ageMillis(suspended)).isEqualTo(900);
		assertThat(this.log.ageMillis(movedBack)).isEqualTo(700);
	}

	private static ObjectListing listing(List<StoredObject> objects, long revision) {
		return new ObjectListing(objects, StoreRevision.of(revision));
	}

	private static ObjectChanges changes(List<ObjectChange> changes, long revision) {
		return new ObjectChanges(changes, StoreRevision.of(revision));
	}

	private static StoredObject object(String key, long version) {
		return new StoredObject(key, version, "{}");
	}

}
