package org.burdocktray.standins.platform;

/**
 * A stored object with its version. Thread safety: immutable.
 *
 * @param key the key
 * @param version the version of the write that stored it
 * @param value the value
 */
public record VersionedObject(String key, long version, String value) {
}
