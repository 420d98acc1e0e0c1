package org.burdocktray.process.watch;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import org.burdocktray.connection.platform.ObjectChanges;
import org.burdocktray.connection.platform.ObjectChanges.ObjectChange;
import org.burdocktray.connection.platform.ObjectListing;
import org.burdocktray.connection.platform.StoreRevision;
import org.burdocktray.connection.platform.StoredObject;

/**
 * The objects of a listing that are newer than its revision. The changes that have led to
 * them come once more when changes after the revision are asked for; without those, an
 * object never goes back to an earlier state. Thread safety: immutable.
 */
public final class ListedVersions {

	/** The versions before any listing. */
	public static final ListedVersions NONE = new ListedVersions(Map.of());

	private final Map<String, StoreRevision> versions;

	private ListedVersions(Map<String, StoreRevision> versions) {
		this.versions = versions;
	}

	/**
	 * Returns the versions of a listing.
	 * @param listing the listing
	 * @return its objects that are newer than its revision
	 */
	public static ListedVersions of(ObjectListing listing) {
		return new ListedVersions(listing.objects()
			.stream()
			.filter((object) -> object.version().isAfter(listing.revision()))
			.collect(Collectors.toMap(StoredObject::key, StoredObject::version, StoreRevision::max)));
	}

	/**
	 * Leaves out what the listing shows already in a later state.
	 * @param changes changes after the revision of the listing
	 * @return the other changes
	 */
	public ObjectChanges withoutEarlier(ObjectChanges changes) {
		if (this.versions.isEmpty()) {
			return changes;
		}
		List<ObjectChange> others = changes.changes().stream().filter((change) -> !isEarlier(change.object())).toList();
		return new ObjectChanges(others, changes.revision(), changes.confirmation());
	}

	private boolean isEarlier(StoredObject object) {
		return object.version().isBefore(this.versions.getOrDefault(object.key(), StoreRevision.NONE));
	}

}
