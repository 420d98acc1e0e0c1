package org.burdocktray.connection.platform;

import java.util.List;
import java.util.OptionalLong;

/**
 * Changes to the objects of a kind. Thread safety: immutable.
 *
 * @param changes the changes in the order in which they were made
 * @param revision the revision of the store after the changes, from which to watch for
 * further changes
 * @param confirmationLagMillis for an answer that another VM has passed on, how long
 * before the call the state was confirmed; negative if later, empty for an answer of the
 * store itself
 */
public record ObjectChanges(List<ObjectChange> changes, long revision, OptionalLong confirmationLagMillis) {

	public ObjectChanges {
		changes = List.copyOf(changes);
	}

	/**
	 * Creates an answer of the store itself.
	 * @param changes the changes
	 * @param revision the revision of the store
	 */
	public ObjectChanges(List<ObjectChange> changes, long revision) {
		this(changes, revision, OptionalLong.empty());
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
