package org.burdocktray.connection.platform;

/**
 * An object of the platform's store. Thread safety: immutable.
 *
 * @param key the key, with slashes between its segments
 * @param version the version of this value; each write to the store assigns a higher
 * version
 * @param value the value, at most one megabyte of UTF-8 text
 */
public record StoredObject(String key, long version, String value) {

}
