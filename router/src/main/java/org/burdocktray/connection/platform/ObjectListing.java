package org.burdocktray.connection.platform;

import java.util.List;

/**
 * All objects of a kind. Thread safety: immutable.
 *
 * @param objects the objects; their keys are their names within the kind
 * @param revision the revision of the store, from which to watch for changes
 */
public record ObjectListing(List<StoredObject> objects, long revision) {

	public ObjectListing {
		objects = List.copyOf(objects);
	}

}
