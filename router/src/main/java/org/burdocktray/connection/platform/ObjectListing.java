package org.burdocktray.connection.platform;

import java.util.List;
import java.util.Optional;

/**
 * All objects of a kind. Thread safety: immutable.
 *
 * @param objects the objects; their keys are their names within the kind
 * @param revision the revision of the store, from which to watch for changes
 * @param confirmation when the state was confirmed, empty if that follows from the call
 */
public record ObjectListing(List<StoredObject> objects, long revision, Optional<Confirmation> confirmation) {

	public ObjectListing {
		objects = List.copyOf(objects);
	}

	/**
	 * Creates an answer of the store itself.
	 * @param objects the objects
	 * @param revision the revision of the store
	 */
	public ObjectListing(List<StoredObject> objects, long revision) {
		this(objects, revision, Optional.empty());
	}

}
