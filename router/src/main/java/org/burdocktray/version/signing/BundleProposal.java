package org.burdocktray.version.signing;

import java.util.Objects;

/**
 * A proposed bundle, signed by an operator. It replaces the preceding version. Stored as
 * JSON under the names of its components. Thread safety: immutable.
 *
 * @param version the version of the bundle
 * @param content the text of the bundle
 * @param contentDigest the SHA-256 digest of the text, lower-case hex
 * @param proposer the name of the proposing operator
 * @param signature the proposer's signature in base 64
 */
public record BundleProposal(long version, String content, String contentDigest, String proposer, String signature) {

	public BundleProposal {
		Objects.requireNonNull(content, "content");
		Objects.requireNonNull(contentDigest, "contentDigest");
		Objects.requireNonNull(proposer, "proposer");
		Objects.requireNonNull(signature, "signature");
	}

}
