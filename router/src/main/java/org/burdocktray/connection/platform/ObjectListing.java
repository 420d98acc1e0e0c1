package org.burdocktray.connection.platform;

import java.util.List;
import java.util.Optional;

/**
 * All objects of a kind. They may have been read one after the other, so that some are
 * newer than the revision. Invariant: no change up to the revision is missing. Thread
 * safety: immutable.
 *
 * @param objects the objects; their keys are their names within the kind
 * @param revision the revision of the store when the first objects were read, from which
 * to watch for changes
 * @param confirmation when the state was confirmed, empty if that follows from the call
 */
public record ObjectListing(List<StoredObject> objects, StoreRevision revision, Optional<Confirmation> confirmation) {

	public ObjectListing {
		objects = List.copyOf(objects);
	}

	/**
	 * Creates an answer of the store itself.
	 * @param objects the objects
	 * @param revision the revision of the store
	 */
	public ObjectListing(List<StoredObject> objects, StoreRevision revision) {
		this(objects, revision, Optional.empty());
	}

}
