package org.burdocktray.request.hedge;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A map that drops the entry used least recently when it is full. Thread safety: none,
 * confined to one event loop.
 *
 * @param <K> the type of the keys
 * @param <V> the type of the values
 */
final class BoundedMap<K, V> extends LinkedHashMap<K, V> {

	private static final long serialVersionUID = 1L;

	private static final int INITIAL_CAPACITY = 16;

	private static final float LOAD_FACTOR = 0.75f;

	private final int maxSize;

	BoundedMap(int maxSize) {
		super(INITIAL_CAPACITY, LOAD_FACTOR, true);
		this.maxSize = maxSize;
	}

	@Override
	protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
		return size() > this.maxSize;
	}

}
