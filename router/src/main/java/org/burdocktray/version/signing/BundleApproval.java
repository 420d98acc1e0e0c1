package org.burdocktray.version.signing;

import java.util.Objects;

/**
 * The approval of a bundle proposal, signed by an operator. Stored as JSON under the
 * names of its components. Thread safety: immutable.
 *
 * @param version the version of the bundle
 * @param contentDigest the SHA-256 digest of the bundle's text, lower-case hex
 * @param approver the name of the approving operator
 * @param signature the approver's signature in base 64
 */
public record BundleApproval(long version, String contentDigest, String approver, String signature) {

	public BundleApproval {
		Objects.requireNonNull(contentDigest, "contentDigest");
		Objects.requireNonNull(approver, "approver");
		Objects.requireNonNull(signature, "signature");
	}

}
