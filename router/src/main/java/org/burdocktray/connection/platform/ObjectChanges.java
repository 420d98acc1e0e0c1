package org.burdocktray.connection.platform;

import java.util.List;
import java.util.Optional;

/**
 * Changes to the objects of a kind. Thread safety: immutable.
 *
 * @param changes the changes in the order in which they were made
 * @param revision the revision of the store after the changes, from which to watch for
 * further changes
 * @param confirmation when the state was confirmed, empty if that follows from the call
 */
public record ObjectChanges(List<ObjectChange> changes, StoreRevision revision, Optional<Confirmation> confirmation) {

	public ObjectChanges {
		changes = List.copyOf(changes);
	}

	/**
	 * Creates an answer of the store itself.
	 * @param changes the changes
	 * @param revision the revision of the store
	 */
	public ObjectChanges(List<ObjectChange> changes, StoreRevision revision) {
		this(changes, revision, Optional.empty());
	}

	/**
	 * A change to an object. Thread safety: immutable.
	 *
	 * @param object the object after the change, or its last state if it was removed
	 * @param removed whether the object was removed
	 */
	public record ObjectChange(StoredObject object, boolean removed) {

	}

}
