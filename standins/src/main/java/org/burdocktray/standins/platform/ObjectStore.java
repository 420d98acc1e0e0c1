package org.burdocktray.standins.platform;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/**
 * An in-memory store of versioned objects. Each successful write increments the version
 * of the whole store and assigns it to the written object. Thread safety: confined to one
 * event loop.
 */
public final class ObjectStore {

	static final int MAX_VALUE_BYTES = 1_000_000;

	private static final int OK = 200;

	private static final int CREATED = 201;

	private static final int NOT_FOUND = 404;

	private static final int CONFLICT = 409;

	private static final int TOO_LARGE = 413;

	private final TreeMap<String, VersionedObject> objects = new TreeMap<>();

	private long version;

	/**
	 * Returns the version of the last write.
	 * @return the version, 0 before the first write
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns an object.
	 * @param key the key
	 * @return the object, empty when it does not exist
	 */
	public Optional<VersionedObject> read(String key) {
		return Optional.ofNullable(this.objects.get(key));
	}

	/**
	 * Returns the objects whose keys start with a prefix.
	 * @param prefix the prefix
	 * @return the objects, ordered by key
	 */
	public List<VersionedObject> list(String prefix) {
		return this.objects.tailMap(prefix)
			.values()
			.stream()
			.takeWhile((object) -> object.key().startsWith(prefix))
			.toList();
	}

	/**
	 * Returns the objects below a prefix that were written after a version.
	 * @param prefix the prefix
	 * @param afterVersion the version, exclusive
	 * @return the objects, ordered by version
	 */
	public List<VersionedObject> changedAfter(String prefix, long afterVersion) {
		return list(prefix).stream()
			.filter((object) -> object.version() > afterVersion)
			.sorted(Comparator.comparingLong(VersionedObject::version))
			.toList();
	}

	/**
	 * Creates an object.
	 * @param key the key
	 * @param value the value
	 * @return the outcome: stored, or rejected when the key exists or the value is too
	 * large
	 */
	public WriteOutcome create(String key, String value) {
		if (isTooLarge(value)) {
			return WriteOutcome.rejected(TOO_LARGE);
		}
		if (this.objects.containsKey(key)) {
			return WriteOutcome.rejected(CONFLICT);
		}
		return store(CREATED, key, value);
	}

	/**
	 * Replaces an object if it has the expected version.
	 * @param key the key
	 * @param expectedVersion the version that was read
	 * @param value the new value
	 * @return the outcome: stored, or rejected when the object does not exist, has
	 * another version or the value is too large
	 */
	public WriteOutcome update(String key, long expectedVersion, String value) {
		if (isTooLarge(value)) {
			return WriteOutcome.rejected(TOO_LARGE);
		}
		VersionedObject current = this.objects.get(key);
		if (current == null) {
			return WriteOutcome.rejected(NOT_FOUND);
		}
		if (current.version() != expectedVersion) {
			return WriteOutcome.rejected(CONFLICT);
		}
		return store(OK, key, value);
	}

	private WriteOutcome store(int statusCode, String key, String value) {
		this.version++;
		VersionedObject object = new VersionedObject(key, this.version, value);
		this.objects.put(key, object);
		return WriteOutcome.stored(statusCode, object);
	}

	private static boolean isTooLarge(String value) {
		return value.getBytes(StandardCharsets.UTF_8).length > MAX_VALUE_BYTES;
	}

}
