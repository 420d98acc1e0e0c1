package org.burdocktray.process.bundle;

import java.util.OptionalLong;

/**
 * Where bundles are in the platform's store. Thread safety: stateless.
 */
public final class BundleKeys {

	/** Names the newest rolled bundle; it can lag behind. */
	public static final String POINTER = "bundles/pointer";

	/** The prefix of the rolled bundles, created once each. */
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
	 * Returns the version that a key of a rolled bundle names.
	 * @param key the key
	 * @return the version, empty for another key
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
