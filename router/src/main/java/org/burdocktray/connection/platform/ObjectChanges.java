package org.burdocktray.connection.platform;

import java.util.List;

/**
 * Changes to the objects of a kind. Thread safety: immutable.
 *
 * @param changes the changes in the order in which they were made
 * @param revision the revision of the store after the changes, from which to watch for
 * further changes
 */
public record ObjectChanges(List<ObjectChange> changes, long revision) {

	public ObjectChanges {
		changes = List.copyOf(changes);
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
