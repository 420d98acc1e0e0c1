package org.burdocktray.process.claim;

import java.util.Optional;

import org.burdocktray.connection.platform.StoreRevision;

/**
 * The last known state of a shard's object. Thread safety: confined to its shard.
 *
 * @param version the version; empty if the object does not exist
 * @param table the entries
 * @param asOfNanos a time at or after which the object had this state
 */
record ShardView(Optional<StoreRevision> version, ClaimTable table, long asOfNanos) {

	/**
	 * Returns whether the object is newer than a version, so that a write that expects
	 * that version can no longer be applied.
	 * @param expectedVersion the version; empty for a write that creates the object
	 * @return whether the object is newer
	 */
	boolean isNewerThan(Optional<StoreRevision> expectedVersion) {
		return this.version.isPresent()
				&& (expectedVersion.isEmpty() || this.version.get().isAfter(expectedVersion.get()));
	}

	boolean hasVersion(Optional<StoreRevision> expectedVersion) {
		return this.version.equals(expectedVersion);
	}

}
