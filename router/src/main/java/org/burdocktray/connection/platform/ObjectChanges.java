package org.burdocktray.connection.platform;

import java.util.List;

/**
 * What has changed in the objects of a kind. Thread safety: immutable.
 *
 * @param changes the changes in the order in which they were made
 * @param revision the store's revision, from which on to watch further
 */
public record ObjectChanges(List<ObjectChange> changes, long revision) {

	public ObjectChanges {
		changes = List.copyOf(changes);
	}

	/**
	 * One change. Thread safety: immutable.
	 *
	 * @param object the object as it is now, or as it was last
	 * @param removed whether it no longer exists
	 */
	public record ObjectChange(StoredObject object, boolean removed) {

	}

}
