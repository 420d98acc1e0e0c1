package org.burdocktray.connection.platform;

/**
 * An object of the platform's store. Thread safety: immutable.
 *
 * @param key the key, with slashes between its segments
 * @param version the version of this value, the revision of the store at its write
 * @param value the value, at most one megabyte of UTF-8 text
 */
public record StoredObject(String key, StoreRevision version, String value) {

	/**
	 * Creates an object of a store without eras.
	 * @param key the key
	 * @param version the version
	 * @param value the value
	 */
	public StoredObject(String key, long version, String value) {
		this(key, StoreRevision.of(version), value);
	}

}
