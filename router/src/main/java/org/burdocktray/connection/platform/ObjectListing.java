package org.burdocktray.connection.platform;

import java.util.List;
import java.util.OptionalLong;

/**
 * All objects of a kind. Thread safety: immutable.
 *
 * @param objects the objects; their keys are their names within the kind
 * @param revision the revision of the store, from which to watch for changes
 * @param confirmationLagMillis for an answer that another VM has passed on, how long
 * before the call the state was confirmed; negative if later, empty for an answer of the
 * store itself
 */
public record ObjectListing(List<StoredObject> objects, long revision, OptionalLong confirmationLagMillis) {

	public ObjectListing {
		objects = List.copyOf(objects);
	}

	/**
	 * Creates an answer of the store itself.
	 * @param objects the objects
	 * @param revision the revision of the store
	 */
	public ObjectListing(List<StoredObject> objects, long revision) {
		this(objects, revision, OptionalLong.empty());
	}

}
