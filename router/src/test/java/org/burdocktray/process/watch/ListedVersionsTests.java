package org.burdocktray.process.watch;

import java.util.List;

import org.burdocktray.connection.platform.ObjectChanges;
import org.burdocktray.connection.platform.ObjectChanges.ObjectChange;
import org.burdocktray.connection.platform.ObjectListing;
import org.burdocktray.connection.platform.StoreRevision;
import org.burdocktray.connection.platform.StoredObject;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against objects that go back to a state before that of a listing whose pages
 * were read one after the other.
 */
class ListedVersionsTests {

	private static final ListedVersions LISTED = ListedVersions
		.of(new ObjectListing(List.of(object("first", 3), object("second", 7)), StoreRevision.of(5)));

	@Test
	void earlierChangeAndRemovalAreLeftOut() {
		ObjectChange earlier = new ObjectChange(object("second", 6), false);
		ObjectChange earlierRemoval = new ObjectChange(object("second", 2), true);
		assertThat(LISTED.withoutEarlier(new ObjectChanges(List.of(earlier, earlierRemoval), StoreRevision.of(8)))
			.changes()).isEmpty();
	}

	@Test
	void changesThatTheListingDoesNotShowAreKept() {
		List<ObjectChange> changes = List.of(new ObjectChange(object("first", 6), false),
				new ObjectChange(object("second", 7), true), new ObjectChange(object("second", 9), false),
				new ObjectChange(object("other", 6), false));
		ObjectChanges kept = LISTED.withoutEarlier(new ObjectChanges(changes, StoreRevision.of(9)));
		assertThat(kept.changes()).isEqualTo(changes);
		assertThat(kept.revision()).isEqualTo(StoreRevision.of(9));
	}

	private static StoredObject object(String key, long version) {
		return new StoredObject(key, version, "{}");
	}

}
