package org.burdocktray.process.bundle;

import java.util.OptionalLong;

/**
 * Keys of the bundles in the platform's store. Thread safety: stateless.
 */
public final class BundleKeys {

	/** Key of the pointer to the newest rolled bundle. The pointer can lag behind. */
	public static final String POINTER = "bundles/pointer";

	/** Prefix of the keys of the rolled bundles, each of which is created once. */
	public static final String ROLLED_PREFIX = "bundles/rolled/";

	private BundleKeys() {
	}

	/**
	 * Returns the key of a rolled bundle.
	 * @param version the version
	 * @return the key
	 */
	public static String rolled(long version) {
		return ROLLED_PREFIX + version;
	}

	/**
	 * Returns the version in the key of a rolled bundle.
	 * @param key the key
	 * @return the version, empty for any other key
	 */
	public static OptionalLong rolledVersion(String key) {
		if (!key.startsWith(ROLLED_PREFIX)) {
			return OptionalLong.empty();
		}
		try {
			return OptionalLong.of(Long.parseLong(key.substring(ROLLED_PREFIX.length())));
		}
		catch (NumberFormatException ex) {
			return OptionalLong.empty();
		}
	}

	static String proposal(long version, String contentDigest) {
		return "bundles/proposals/" + version + "/" + contentDigest;
	}

	static String approval(long version, String contentDigest) {
		return "bundles/approvals/" + version + "/" + contentDigest;
	}

}
