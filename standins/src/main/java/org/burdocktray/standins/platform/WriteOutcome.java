package org.burdocktray.standins.platform;

import java.util.Optional;

/**
 * The outcome of a write. Thread safety: immutable.
 *
 * @param statusCode the HTTP status code of the response
 * @param object the stored object, empty when nothing was written
 */
public record WriteOutcome(int statusCode, Optional<VersionedObject> object) {

	static WriteOutcome rejected(int statusCode) {
		return new WriteOutcome(statusCode, Optional.empty());
	}

	static WriteOutcome stored(int statusCode, VersionedObject object) {
		return new WriteOutcome(statusCode, Optional.of(object));
	}

}
