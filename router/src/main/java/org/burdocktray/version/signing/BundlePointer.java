package org.burdocktray.version.signing;

import java.util.Objects;

/**
 * A reference to the newest rolled bundle. Stored as JSON under the names of its
 * components. Thread safety: immutable.
 *
 * @param version the version of the bundle
 * @param contentDigest the SHA-256 digest of the bundle's text, lower-case hex
 */
public record BundlePointer(long version, String contentDigest) {

	public BundlePointer {
		Objects.requireNonNull(contentDigest, "contentDigest");
	}

}
